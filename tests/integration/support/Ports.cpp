#include "Ports.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <random>
#include <set>
#include <stdexcept>

namespace cassiahollow::testing {

std::uint16_t freePort()
{
    using boost::asio::ip::tcp;
    // Below the range of ports of outgoing connections, which starts at 32768.
    static std::mt19937 random { std::random_device()() };
    static std::uniform_int_distribution<int> range { 20'000, 32'000 };
    static std::set<int> used;
    boost::asio::io_context context;
    for (int attempt = 0; attempt < 1'000; ++attempt) {
        const auto port = range(random);
        if (!used.insert(port).second)
            continue;
        tcp::acceptor acceptor(context);
        boost::system::error_code error;
        acceptor.open(tcp::v4());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind({ boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) }, error);
        if (!error)
            acceptor.listen(1, error);
        if (!error)
            return static_cast<std::uint16_t>(port);
    }
    throw std::runtime_error("no free port between 20000 and 32000");
}

std::string loopbackAddress(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace cassiahollow::testing
