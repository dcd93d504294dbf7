#include "LineServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace cassiahollow::standin {

namespace asio = boost::asio;

namespace {

    std::string takeWord(std::string& text)
    {
        const auto end = std::min(text.find(' '), text.size());
        auto word = text.substr(0, end);
        text.erase(0, std::min(end + 1, text.size()));
        return word;
    }

    std::string positionText(const LogPosition& position)
    {
        return std::to_string(position.term_) + "." + std::to_string(position.index_);
    }

    LogPosition parsePosition(const std::string& text)
    {
        LogPosition position;
        const auto dot = text.find('.');
        std::from_chars(text.data(), text.data() + dot, position.term_);
        std::from_chars(text.data() + dot + 1, text.data() + text.size(), position.index_);
        return position;
    }

    constexpr std::string_view lineEnd = "\r\n";
    // How long a dark database waits before it looks whether it is still dark.
    constexpr auto darkPause = std::chrono::milliseconds(20);

} // namespace

class LineServer::Session : public std::enable_shared_from_this<Session> {
public:
    Session(LineServer& server, asio::ip::tcp::socket socket)
        : server_(server)
        , socket_(std::move(socket))
        , timer_(server.context_)
    {
        ++server_.connections_;
    }
    ~Session() { --server_.connections_; }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void read()
    {
        auto self = shared_from_this();
        asio::async_read_until(socket_, asio::dynamic_buffer(buffer_), lineEnd, [self](auto error, std::size_t size) {
            if (error)
                return;
            auto line = self->buffer_.substr(0, size - lineEnd.size());
            self->buffer_.erase(0, size);
            self->whenLit([self, line] { self->handle(line); });
        });
    }

private:
    template <typename F> void whenLit(F next)
    {
        if (!server_.faults_.dark_ && !server_.isCutFrom(caller_))
            return next();
        timer_.expires_after(darkPause);
        timer_.async_wait([self = shared_from_this(), next](auto) { self->whenLit(next); });
    }

    void handle(std::string line)
    {
        server_.checkMessage(line);
        const auto word = takeWord(line);
        if (word == "STARTUP")
            return handleStart(line);
        if (word != "QUERY")
            return; // The end of the session.
        const auto id = takeWord(line);
        const bool isClients = id != "-";
        const auto reply = run(id, line);
        if (isClients && takeFault(server_.faults_.cutAnswers_))
            return socket_.close();
        if (isClients && takeFault(server_.faults_.loseAnswers_))
            return read();
        const int delay = isClients ? server_.faults_.delayMs_.load() : 0;
        if (delay == 0)
            return write(reply);
        timer_.expires_after(std::chrono::milliseconds(delay));
        timer_.async_wait([self = shared_from_this(), reply](auto) { self->write(reply); });
    }

    void handleStart(std::string line)
    {
        const auto group = takeWord(line);
        caller_ = takeWord(line);
        server_.noteCaller(caller_);
        if (server_.isCutFrom(caller_))
            return;
        if (group != server_.group_.name() || (!line.empty() && line != server_.id_.value_))
            return write("ERROR MOVED other\r\n", false);
        if (server_.connections_ > server_.faults_.connectionLimit_)
            return write("ERROR MAXCONN full\r\n", false);
        write(ready());
    }

    static bool takeFault(std::atomic<int>& left)
    {
        if (left <= 0)
            return false;
        --left;
        return true;
    }

    std::string ready() const
    {
        const char mark = failed_ ? 'E' : transaction_ ? 'T' : 'I';
        return std::string("READY ") + mark + " " + positionText(server_.group_.position(server_.id_)) + "\r\n";
    }

    std::string error(const std::string& code, const std::string& text = "x")
    {
        if (transaction_)
            failed_ = true;
        return "ERROR " + code + " " + text + "\r\n" + ready();
    }

    std::string complete(const std::string& rows = {}) { return rows + "COMPLETE -\r\n" + ready(); }
    std::string signedBy(const std::string& query, const std::string& rows = {})
    {
        return rows + "COMPLETE " + server_.id_.value_ + "." + query + "\r\n" + ready();
    }

    std::string run(const std::string& id, std::string text)
    {
        const auto whole = text;
        auto verb = takeWord(text);
        if (verb == "WAITLSN") {
            const auto floor = parsePosition(takeWord(text));
            if (server_.group_.position(server_.id_) < floor)
                return error("LAGGING", server_.id_.value_);
            verb = takeWord(text);
        }
        if (verb == "ROLLBACK" || (verb == "COMMIT" && failed_)) {
            endTransaction();
            return verb == "ROLLBACK" ? complete() : error("ABORTED");
        }
        if (failed_)
            return error("MALFORMED");
        if (verb == "SET") {
            const auto name = takeWord(text);
            values_[name] = text;
            return complete();
        }
        if (verb == "PREPARE") {
            const auto name = takeWord(text);
            prepared_[name] = takeWord(text) == "WRITE";
            return complete();
        }
        if (verb == "DISCARD") {
            values_.clear();
            prepared_.clear();
            return complete();
        }
        if (verb == "STATUS" || verb == "STEPDOWN" || verb == "PAUSE" || verb == "RESUME")
            return control(verb, text);
        if (verb == "BEGIN")
            return begin(text == "READ");
        return runData(id, verb, text, whole);
    }

    std::string control(const std::string& verb, const std::string& text)
    {
        auto& group = server_.group_;
        if (server_.faults_.shedsFirstOrder_ && !std::exchange(shedOrder_, true))
            return error("BUSY");
        if (verb == "STEPDOWN")
            group.stepDown(server_.id_, std::stoull(text));
        const std::string role = group.isPrimary(server_.id_) ? "primary" : "replica";
        const auto term = std::to_string(group.term());
        return complete("DATAROW " + role + " " + term + " " + positionText(group.position(server_.id_)) + " " + term
            + " 0 0 " + std::to_string(server_.connections_) + "\r\n");
    }

    std::string begin(bool readOnly)
    {
        if (!readOnly && !server_.group_.isPrimary(server_.id_))
            return error("READONLY", server_.id_.value_);
        transaction_ = true;
        plain_ = !readOnly;
        return complete();
    }

    std::string runData(const std::string& id, std::string verb, std::string text, const std::string& whole)
    {
        if (server_.faults_.sheds_)
            return error("BUSY");
        if (verb == "EXECUTE") {
            const auto name = takeWord(text);
            const auto found = prepared_.find(name);
            if (found == prepared_.end())
                return error("NOSTMT", name);
            verb = found->second ? "WRITE" : "READ";
        }
        if (transaction_ && plain_ && !server_.group_.isPrimary(server_.id_))
            return error("READONLY", server_.id_.value_);
        server_.note({ id, whole, transaction_, values_, caller_ });
        if (verb == "READ")
            return signedBy(id, "DATAROW " + server_.group_.read(server_.id_, text).value_or("none") + "\r\n");
        if (verb == "WRITE") {
            const auto item = takeWord(text);
            if (transaction_) {
                writes_[item] = text;
                return signedBy(id);
            }
            if (!server_.group_.commit(server_.id_, { { item, text } }, id))
                return error("READONLY", server_.id_.value_);
            return signedBy(id);
        }
        if (verb != "COMMIT" || !transaction_)
            return error("MALFORMED");
        const auto writes = std::exchange(writes_, {});
        endTransaction();
        if (!writes.empty() && !server_.group_.commit(server_.id_, writes, id))
            return error("READONLY", server_.id_.value_);
        return signedBy(id);
    }

    void endTransaction()
    {
        transaction_ = false;
        failed_ = false;
        plain_ = false;
        writes_.clear();
    }

    void write(std::string text, bool goesOn = true)
    {
        auto self = shared_from_this();
        outgoing_ = std::move(text);
        asio::async_write(socket_, asio::buffer(outgoing_), [self, goesOn](auto error, std::size_t) {
            if (!error && goesOn)
                self->read();
        });
    }

    LineServer& server_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::string caller_;
    std::string buffer_;
    std::string outgoing_;
    std::map<std::string, std::string> values_;
    std::map<std::string, bool> prepared_; ///< Whether the shape writes.
    std::map<std::string, std::string> writes_; ///< Of the open transaction.
    bool transaction_ { false };
    bool shedOrder_ { false };
    bool plain_ { false };
    bool failed_ { false };
};

LineServer::LineServer(LineGroup& group, EndpointId id, const std::string& host, std::uint16_t port)
    : group_(group)
    , id_(std::move(id))
    , address_(host + ":" + std::to_string(port))
    , acceptor_(context_, { asio::ip::make_address(host), port })
{
    accept();
    thread_ = std::thread([this] { context_.run(); });
}

LineServer::~LineServer()
{
    context_.stop();
    thread_.join();
}

void LineServer::accept()
{
    acceptor_.async_accept([this](auto error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        socket.set_option(asio::ip::tcp::no_delay(true));
        std::make_shared<Session>(*this, std::move(socket))->read();
        accept();
    });
}

std::vector<RanStatement> LineServer::ran() const
{
    const std::lock_guard lock(mutex_);
    return ran_;
}

void LineServer::cutFrom(const std::string& caller)
{
    const std::lock_guard lock(mutex_);
    cutFrom_.insert(caller);
}

bool LineServer::isCutFrom(const std::string& caller) const
{
    const std::lock_guard lock(mutex_);
    return cutFrom_.contains(caller);
}

std::vector<std::string> LineServer::callers() const
{
    const std::lock_guard lock(mutex_);
    return callers_;
}

void LineServer::watchFor(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    watched_.insert(text);
}

void LineServer::noteCaller(const std::string& caller)
{
    const std::lock_guard lock(mutex_);
    callers_.push_back(caller);
}

void LineServer::checkMessage(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    for (const auto& text : watched_) {
        if (line.find(text) != std::string::npos)
            hasReceivedWatched_ = true;
    }
}

void LineServer::note(RanStatement statement)
{
    const std::lock_guard lock(mutex_);
    ran_.push_back(std::move(statement));
}

} // namespace cassiahollow::standin
