#include "process/Commands.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

DEFINE_string(operators, "127.0.0.1:7101", "ctl: address (ip:port) of an instance's listener for operators");
DEFINE_string(credential, "", "ctl: operator credential; default: the environment variable CASSIAHOLLOW_CREDENTIAL");
DEFINE_string(key, "", "ctl: key of a change; repeat a change with its key after an unknown outcome");
DEFINE_int64(revision, -1, "ctl set/unset: the settings revision that you have seen; default: the current one");
DEFINE_int32(timeout_ms, 15000, "ctl: how long to wait for the answer");

namespace cassiahollow {

namespace {

    using nlohmann::json;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    struct Response {
        unsigned status_ { 0 };
        std::string body_;
    };

    /// Sends one request. Returns nothing when no answer arrived; `sent` tells whether the request may have arrived.
    std::optional<Response> call(
        const std::string& method, const std::string& path, const std::string& body, bool& sent)
    {
        const auto colon = FLAGS_operators.rfind(':');
        if (colon == std::string::npos) {
            std::cerr << "--operators has to be ip:port\n";
            return std::nullopt;
        }
        boost::asio::io_context context;
        beast::tcp_stream stream(context);
        beast::error_code error;
        std::optional<Response> response;
        http::request<http::string_body> request(method == "POST" ? http::verb::post : http::verb::get, path, 11);
        const char* fromEnvironment = std::getenv("CASSIAHOLLOW_CREDENTIAL");
        const std::string credential = FLAGS_credential.empty() && fromEnvironment ? fromEnvironment : FLAGS_credential;
        request.set(http::field::host, FLAGS_operators);
        request.set(http::field::authorization, "Bearer " + credential);
        request.body() = body;
        request.prepare_payload();
        beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        stream.expires_after(std::chrono::milliseconds(FLAGS_timeout_ms));
        const boost::asio::ip::tcp::endpoint address(
            boost::asio::ip::make_address(FLAGS_operators.substr(0, colon), error),
            static_cast<unsigned short>(std::atoi(FLAGS_operators.c_str() + colon + 1)));
        if (error) {
            std::cerr << "--operators has to be ip:port\n";
            return std::nullopt;
        }
        stream.async_connect(address, [&](beast::error_code connectError) {
            error = connectError;
            if (error)
                return;
            sent = true;
            http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
                error = writeError;
                if (error)
                    return;
                http::async_read(stream, buffer, answer, [&](beast::error_code readError, std::size_t) {
                    error = readError;
                    if (!error)
                        response = Response { answer.result_int(), answer.body() };
                });
            });
        });
        context.run();
        if (!response)
            std::cerr << "no answer from " << FLAGS_operators << ": " << error.message()
                      << "; check --operators and that the instance runs\n";
        return response;
    }

    int printResult(const std::optional<Response>& response, bool sent, bool isChange, const std::string& key)
    {
        if (!response) {
            if (!isChange || !sent)
                return ExitFailed;
            std::cerr << "the outcome is unknown; repeat the command with --key=" << key << " to learn it\n";
            return ExitUnknown;
        }
        std::cout << response->body_;
        if (response->status_ < 300)
            return ExitDone;
        const json body = json::parse(response->body_, nullptr, false);
        const std::string outcome = body.is_object() ? body.value("outcome", "") : "";
        if (outcome == "unknown") {
            std::cerr << "the outcome is unknown; repeat the command with --key=" << key << " to learn it\n";
            return ExitUnknown;
        }
        return ExitNotRun;
    }

    int show(const std::string& path)
    {
        bool sent = false;
        return printResult(call("GET", path, "", sent), sent, false, "");
    }

    int post(const std::string& path, const json& body, const std::string& key)
    {
        bool sent = false;
        return printResult(call("POST", path, body.dump(), sent), sent, true, key);
    }

    std::string changeKey()
    {
        if (!FLAGS_key.empty())
            return FLAGS_key;
        std::random_device random;
        std::ostringstream text;
        text << "ctl-" << std::hex << random() << random();
        return text.str();
    }

    std::optional<std::int64_t> seenRevision()
    {
        if (FLAGS_revision >= 0)
            return FLAGS_revision;
        bool sent = false;
        const auto response = call("GET", "/v1/settings", "", sent);
        if (!response || response->status_ != 200) {
            if (response)
                std::cerr << response->body_;
            return std::nullopt;
        }
        const json body = json::parse(response->body_, nullptr, false);
        return body.is_object() ? std::optional<std::int64_t>(body.value("revision", std::int64_t(0))) : std::nullopt;
    }

    int changeSettings(const json& operation)
    {
        const auto revision = seenRevision();
        if (!revision)
            return ExitFailed;
        const std::string key = changeKey();
        return post(
            "/v1/settings", { { "key", key }, { "revision", *revision }, { "operations", { operation } } }, key);
    }

    int usage()
    {
        std::cerr << "usage: cassiahollow ctl [--operators=IP:PORT] [--credential=TEXT] COMMAND\n"
                     "  settings                        show the settings tree in force\n"
                     "  set PATH [NAME VALUE]           set a setting, or create a node\n"
                     "  unset PATH [NAME]               unset a setting, or remove a node\n"
                     "  endpoints | groups | instances  list them\n"
                     "  control                         show the control member of this instance\n"
                     "  add-member INSTANCE             admit a control member; it needs an empty data folder\n"
                     "  remove-member INSTANCE          remove a control member\n"
                     "  metrics | ready                 show counters; show readiness\n"
                     "  drain-endpoint ENDPOINT         give an endpoint no new work\n"
                     "  drain-instance INSTANCE [off]   move the endpoints that this instance holds elsewhere\n"
                     "  primary GROUP ENDPOINT          planned change of primary\n"
                     "exit status: 0 done, 1 failed, 2 usage, 3 refused and not run, 4 outcome unknown\n";
        return ExitUsage;
    }

} // namespace

int runControlCommand(const std::vector<std::string>& words)
{
    const std::string command = words.empty() ? "" : words[0];
    const std::size_t arguments = words.empty() ? 0 : words.size() - 1;
    if (arguments == 0
        && (command == "settings" || command == "endpoints" || command == "groups" || command == "instances"
            || command == "metrics" || command == "ready" || command == "control"))
        return show("/v1/" + command);
    if (command == "set" && arguments == 1)
        return changeSettings({ { "op", "set" }, { "path", words[1] } });
    if (command == "set" && arguments == 3)
        return changeSettings({ { "op", "set" }, { "path", words[1] }, { "name", words[2] }, { "value", words[3] } });
    if (command == "unset" && arguments == 1)
        return changeSettings({ { "op", "unset" }, { "path", words[1] } });
    if (command == "unset" && arguments == 2)
        return changeSettings({ { "op", "unset" }, { "path", words[1] }, { "name", words[2] } });
    if (command == "drain-endpoint" && arguments == 1)
        return post("/v1/drain", { { "endpoint", words[1] } }, "");
    if (command == "drain-instance" && arguments >= 1 && arguments <= 2)
        return post("/v1/drain", { { "instance", words[1] }, { "draining", arguments == 1 || words[2] != "off" } }, "");
    if ((command == "add-member" || command == "remove-member") && arguments == 1)
        return post("/v1/control", { { "instance", words[1] }, { "add", command == "add-member" } }, "");
    if (command == "primary" && arguments == 2)
        return post("/v1/primary", { { "group", words[1] }, { "endpoint", words[2] } }, "");
    return usage();
}

} // namespace cassiahollow
