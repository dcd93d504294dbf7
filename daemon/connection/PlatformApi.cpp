#include "connection/PlatformApi.h"

#include <openssl/crypto.h>

namespace cassiahollow {

namespace {

    constexpr std::size_t maxAnnouncementBytes = 16 * 1024;

    EndpointRecord recordOf(const EndpointAnnouncement& announcement)
    {
        EndpointRecord record;
        record.id_ = announcement.endpoint_;
        record.group_ = announcement.group_;
        record.address_ = announcement.address_;
        record.dataCentre_ = announcement.dataCentre_;
        record.slots_ = announcement.slots_;
        record.connections_ = announcement.connections_;
        record.role_ = announcement.role_;
        record.promisedTerm_ = announcement.promisedTerm_;
        record.leaving_ = announcement.leaving_;
        record.started_ = announcement.started_;
        record.sequence_ = announcement.sequence_;
        return record;
    }

    HttpListenerOptions listenerOptions(const ProcessSettings& settings)
    {
        HttpListenerOptions options;
        options.name_ = "platform";
        options.address_ = settings.listen_.platform_;
        options.maxRequestBytes_ = maxAnnouncementBytes;
        return options;
    }

} // namespace

bool hasCredential(const std::string& authorization, const std::string& credential)
{
    const std::string expected = "Bearer " + credential;
    return authorization.size() == expected.size()
        && CRYPTO_memcmp(authorization.data(), expected.data(), expected.size()) == 0;
}

PlatformApi::PlatformApi(ServeContext& context, Announced announced)
    : context_(context)
    , announced_(std::move(announced))
    , listener_(context.loop_, listenerOptions(context.settings_),
          { [this](const HttpConnectionPtr& connection, const HttpRequest& request) { receive(connection, request); },
              {}, {}, {}, [this](Reason reason) { context_.metrics_.count(reason); } })
{
}

void PlatformApi::receive(const HttpConnectionPtr& connection, const HttpRequest& request)
{
    const auto refuse = [&](int status, Reason reason) {
        context_.metrics_.count(reason);
        connection->reply({ status, failureMessage({ reason, request.path_ }) + "\n", "text/plain" });
    };
    if (!hasCredential(request.authorization_, context_.settings_.platformCredential_)) {
        refuse(403, Reason::CredentialInvalid);
        return;
    }
    if (request.method_ != "POST" || request.path_ != "/v1/announce") {
        refuse(404, Reason::MalformedRequest);
        return;
    }
    const auto announcement = decodeEndpointAnnouncement(request.body_);
    if (!announcement) {
        refuse(400, Reason::MessageMalformed);
        return;
    }
    announced_(recordOf(*announcement));
    connection->reply({ 200, "{}\n" });
}

} // namespace cassiahollow
