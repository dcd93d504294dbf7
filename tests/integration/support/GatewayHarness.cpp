#include "GatewayHarness.h"

#include "Ports.h"
#include "process/SuspendAwareClock.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiahollow::testing {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view lineEnd = "\r\n";

    std::vector<EndpointId> endpointNames()
    {
        return { EndpointId("i-1"), EndpointId("i-2"), EndpointId("i-3") };
    }

    std::vector<EndpointId> otherEndpointNames()
    {
        return { EndpointId("i-4"), EndpointId("i-5"), EndpointId("i-6") };
    }

    ClientAccounts accountsOf(const GatewayHarness::Options& options)
    {
        std::vector<ClientAccount> accounts;
        for (const auto& [name, texts] : *options.accounts_) {
            ClientAccount account { AccountId(name), {}, 0, {} };
            if (const auto quota = options.quotas_.find(name); quota != options.quotas_.end())
                account.quota_ = quota->second;
            for (const auto& text : texts)
                account.keys_.push_back(digestOf(text));
            accounts.push_back(account);
        }
        return boost::leaf::try_handle_all([&] { return indexAccounts(accounts); },
            []() -> ClientAccounts {
                FAIL("accounts that share a key");
                return {};
            });
    }

    RouteCatalog catalogOf(const GatewayHarness::Options& options, std::uint64_t version)
    {
        RouteCatalog catalog;
        catalog.version_ = version;
        if (options.accounts_)
            catalog.accounts_ = accountsOf(options);
        catalog.groups_ = { { GroupId("returns"), options.connectionLimit_, options.synchronousReplicas_ } };
        if (options.hasOtherGroup_)
            catalog.groups_.push_back({ GroupId("verdicts"), options.connectionLimit_, 0 });
        catalog.idleTransaction_ = options.idleTransaction_;
        const auto add = [&](const std::string& name, Consistency consistency, int priority) {
            Route route;
            route.name_ = name;
            route.database_ = name;
            route.group_ = GroupId(options.movedRoutes_.contains(name) ? "verdicts" : "returns");
            route.consistency_ = consistency;
            route.statementTimeout_ = options.statementTimeout_;
            route.objective_ = 300ms;
            route.maxAge_ = options.maxAge_;
            route.priority_ = priority;
            route.isPublic_ = options.publicRoutes_.contains(name);
            catalog.routes_.push_back(route);
        };
        add("verdicts", Consistency::Primary, 1);
        add("audits", Consistency::BoundedStaleness, 2);
        add("receipts", options.receipts_, 2);
        return catalog;
    }

} // namespace

LineClient::LineClient(const std::string& address, std::optional<int> receiveBufferBytes)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto colon = address.rfind(':');
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    if (receiveBufferBytes)
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &*receiveBufferBytes, sizeof(*receiveBufferBytes));
    // Not checked here: clients run on several threads, and Catch takes checks of one only. Without a connection every
    // answer is empty.
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0) {
        ::close(socket_);
        socket_ = -1;
    }
}

LineClient::~LineClient()
{
    if (socket_ >= 0)
        ::close(socket_);
}

void LineClient::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return;
        sent += static_cast<std::size_t>(size);
    }
}

std::optional<std::string> LineClient::readLine(std::chrono::milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (buffer_.find(lineEnd) == std::string::npos) {
        if (socket_ < 0)
            return std::nullopt;
        pollfd wait { socket_, POLLIN, 0 };
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
            return std::nullopt;
        char bytes[4096];
        const auto size = ::recv(socket_, bytes, sizeof(bytes), 0);
        if (size <= 0)
            return std::nullopt;
        buffer_.append(bytes, static_cast<std::size_t>(size));
    }
    const auto size = buffer_.find(lineEnd);
    auto line = buffer_.substr(0, size);
    buffer_.erase(0, size + lineEnd.size());
    return line;
}

ClientAnswer LineClient::receive(std::chrono::milliseconds limit)
{
    ClientAnswer answer;
    while (const auto line = readLine(limit)) {
        std::istringstream words(*line);
        std::string word;
        words >> word;
        if (word == "DATAROW") {
            answer.rows_.push_back(line->substr(8));
        } else if (word == "COMPLETE") {
            words >> answer.signature_;
        } else if (word == "ERROR") {
            words >> answer.error_;
            std::getline(words >> std::ws, answer.text_);
        } else if (word == "READY") {
            words >> answer.mark_;
            break;
        }
    }
    return answer;
}

ClientAnswer LineClient::start(const std::string& database, const std::string& key)
{
    send("STARTUP " + database + " " + key + "\r\n");
    return receive();
}

ClientAnswer LineClient::query(const std::string& text)
{
    static std::atomic<int> next { 1 };
    id_ = "q" + std::to_string(next++);
    send("QUERY " + id_ + " " + text + "\r\n");
    return receive();
}

bool LineClient::isClosed(std::chrono::milliseconds limit)
{
    pollfd wait { socket_, POLLIN, 0 };
    char byte = 0;
    return ::poll(&wait, 1, static_cast<int>(limit.count())) > 0 && ::recv(socket_, &byte, 1, MSG_PEEK) <= 0;
}

GatewayHarness::GatewayHarness()
    : GatewayHarness(Options {})
{
}

GatewayHarness::GatewayHarness(Options options)
    : group_("returns", endpointNames())
    , other_("verdicts", otherEndpointNames())
    , calls_(100, [this] { loop_.wake(); })
    , gateway_(loop_, metrics_,
          { .instance_ = "front-1",
              .dataCentre_ = DataCentre("a"),
              .needsLeases_ = options.needsLeases_,
              .failClosed_ = options.failClosed_ })
    , address_(loopbackAddress(freePort()))
{
    for (const auto& id : endpointNames())
        servers_.push_back(std::make_unique<standin::LineServer>(group_, id, "127.0.0.1", freePort()));
    for (const auto& id : options.hasOtherGroup_ ? otherEndpointNames() : std::vector<EndpointId>())
        servers_.push_back(std::make_unique<standin::LineServer>(other_, id, "127.0.0.1", freePort()));
    listener_ = std::make_unique<LineListener>(
        loop_, address_, 1000, [this](const LineChannelPtr& channel) { gateway_.accept(channel); });
    REQUIRE(listener_->start());
    loop_.setWakeHandler([this] {
        for (auto& call : calls_.take()) {
            call.function_(gateway_);
            *call.done_ = true;
        }
    });
    gateway_.setCatalog(std::make_shared<const RouteCatalog>(catalogOf(options, catalogVersion_)));
    gateway_.setShare(options.instances_, 0);
    gateway_.setEndpoints(records());
    thread_ = std::thread([this] { loop_.run(); });
}

GatewayHarness::~GatewayHarness()
{
    onGateway([this](StatementGateway&) { loop_.stop(); });
    thread_.join();
}

void GatewayHarness::onGateway(const std::function<void(StatementGateway&)>& function)
{
    const auto done = std::make_shared<std::atomic<bool>>(false);
    calls_.post({ function, done });
    for (int i = 0; i < 5000 && !*done; ++i)
        std::this_thread::sleep_for(1ms);
}

void GatewayHarness::lease(const EndpointId& primary, Duration age)
{
    onGateway([&](StatementGateway& gateway) {
        LeaseTable table { { 1, ++leaseNumber_ }, {} };
        if (!primary.empty())
            table.leases_.push_back({ GroupId(group_.name()), primary });
        gateway.receiveLeases({ table.version_, age, table }, suspendAwareNow());
    });
}

std::vector<RegisteredEndpoint> GatewayHarness::records()
{
    std::vector<RegisteredEndpoint> records;
    const auto now = suspendAwareNow();
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        const auto& server = servers_[i];
        const auto& group = i < endpointNames().size() ? group_ : other_;
        RegisteredEndpoint record;
        record.id_ = server->id();
        record.group_ = GroupId(group.name());
        record.address_ = server->address();
        record.dataCentre_ = DataCentre("a");
        record.startedAtMs_ = 1;
        record.sequence_ = sequence_++;
        record.slots_ = 2;
        record.role_ = group.isPrimary(server->id()) ? EndpointRole::Primary : EndpointRole::Replica;
        record.receivedAt_ = now;
        record.roleSince_ = now;
        records.push_back(record);
    }
    return records;
}

void GatewayHarness::configure(const Options& options)
{
    const auto catalog = std::make_shared<const RouteCatalog>(catalogOf(options, ++catalogVersion_));
    onGateway([&](StatementGateway& gateway) { gateway.setCatalog(catalog); });
}

void GatewayHarness::announce()
{
    const auto now = records();
    onGateway([&](StatementGateway& gateway) { gateway.setEndpoints(now); });
}

std::size_t GatewayHarness::runsOf(const std::string& id) const
{
    std::size_t runs = 0;
    for (const auto& server : servers_) {
        for (const auto& statement : server->ran())
            runs += statement.query_ == id ? 1 : 0;
    }
    return runs;
}

std::uint64_t GatewayHarness::counted(Reason reason)
{
    return metrics_.value(reason);
}

std::unique_ptr<LineClient> GatewayHarness::client(const std::string& database, const std::string& key)
{
    auto client = std::make_unique<LineClient>(address_);
    REQUIRE(client->start(database, key).mark_ == 'I');
    return client;
}

} // namespace cassiahollow::testing
