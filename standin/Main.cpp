#include "Server.h"

#include <boost/algorithm/string.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/log/trivial.hpp>
#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>

DEFINE_string(id, "", "id of the database");
DEFINE_string(group, "", "name of the replication group");
DEFINE_string(data_centre, "", "name of the data centre");
DEFINE_string(listen, "127.0.0.1:7001", "ip:port of the WebSocket listener");
DEFINE_string(address, "", "ip:port that is announced, if it is not that of the listener, such as that of a relay");
DEFINE_string(announce, "", "platform listeners of instances, as ip:port separated by commas");
DEFINE_string(credential, "", "bearer credential of announcements");
DEFINE_uint32(slots, 2, "statements that run at once");
DEFINE_uint32(connections, 35, "limit of connections");
DEFINE_uint32(connect_delay_ms, 10, "time from the handshake of a connection to its first answer, in ms");
DEFINE_uint32(service_time_us, 0, "time that a statement holds its slot, in microseconds");
DEFINE_uint32(lag_ms, 0, "replication lag, in ms");
DEFINE_uint32(leave_delay_ms, 3000, "shortest time from SIGTERM to the exit, in ms");
DEFINE_string(data, "", "folder of the journal; empty to keep the state in memory only");

namespace {

using namespace cassiahollow;
using namespace cassiahollow::standin;

Server* signalledServer = nullptr;

void handleSignal(int)
{
    if (signalledServer != nullptr)
        signalledServer->leave();
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> items;
    if (!text.empty())
        boost::algorithm::split(items, text, [](char letter) { return letter == ','; });
    return items;
}

int serve(ServerSettings settings)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            Database database { settings.id_ };
            std::unique_ptr<Journal> journal;
            if (!FLAGS_data.empty()) {
                BOOST_LEAF_AUTO(opened, Journal::open(FLAGS_data));
                BOOST_LEAF_ASSIGN(database, restoreDatabase(settings.id_, opened.records()));
                journal = std::make_unique<Journal>(std::move(opened));
            }
            Server server(std::move(settings), std::move(database), std::move(journal));
            signalledServer = &server;
            std::signal(SIGTERM, handleSignal);
            std::signal(SIGINT, handleSignal);
            const auto status = server.run();
            signalledServer = nullptr;
            return status;
        },
        [](const JournalError& error) {
            BOOST_LOG_TRIVIAL(error) << error.message_;
            return 1;
        },
        [](const Failure& failure) {
            BOOST_LOG_TRIVIAL(error) << failureMessage(failure);
            return 1;
        },
        [] { return 1; });
}

} // namespace

int main(int argumentCount, char** arguments)
{
    gflags::SetUsageMessage("database stand-in of cassiahollow");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    const auto colon = FLAGS_listen.rfind(':');
    if (FLAGS_id.empty() || FLAGS_group.empty() || colon == std::string::npos) {
        BOOST_LOG_TRIVIAL(error) << "--id, --group and --listen ip:port are needed";
        return 1;
    }
    // The environment's HTTP proxy is not meant for databases and instances; libwebsockets would use it.
    ::unsetenv("http_proxy");
    return serve({ EndpointId(FLAGS_id), GroupId(FLAGS_group), DataCentre(FLAGS_data_centre),
        FLAGS_listen.substr(0, colon), static_cast<std::uint16_t>(std::atoi(FLAGS_listen.c_str() + colon + 1)),
        splitList(FLAGS_announce), FLAGS_credential, FLAGS_slots, FLAGS_connections,
        std::chrono::milliseconds(FLAGS_connect_delay_ms), std::chrono::microseconds(FLAGS_service_time_us),
        std::chrono::milliseconds(FLAGS_lag_ms), std::chrono::milliseconds(FLAGS_leave_delay_ms), FLAGS_address });
}
