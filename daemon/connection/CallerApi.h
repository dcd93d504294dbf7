#pragma once

#include "connection/HttpListener.h"
#include "request/RequestRouter.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>

namespace cassiahollow {

/// The HTTP and WebSocket interface for callers: decodes requests, hands them to the router and encodes answers.
/// Documented in docs/callers.md.
class CallerApi {
public:
    CallerApi(ServeContext&, RequestRouter&);
    CallerApi(const CallerApi&) = delete;
    CallerApi& operator=(const CallerApi&) = delete;

    /// Opens the listener for callers.
    boost::leaf::result<void> start();
    /// Refuses new connections and requests, and asks WebSocket callers to connect elsewhere.
    void stopAccepting();
    /// True while a request, or a transaction on a WebSocket, is open.
    bool isBusy() const;

private:
    struct Stream {
        std::uint64_t caller_ { 0 };
        std::set<std::string> transactions_; ///< Begun and not ended.
    };

    void receiveRequest(const HttpConnectionPtr&, HttpRequest);
    void receiveMessage(const HttpConnectionPtr&, const std::string&);
    std::shared_ptr<HeldMemory> holdMemory(std::size_t bytes);
    void receiveStep(const HttpConnectionPtr&, Stream&, const nlohmann::json&, const std::shared_ptr<HeldMemory>&);
    void connectionClosed(const HttpConnectionPtr&);
    void answerStream(const HttpConnectionPtr&, const nlohmann::json& id, const CallerAnswer&);
    void transactionEnded(std::uint64_t caller, const std::string& transaction);
    Stream* findStream(std::uint64_t caller);

    ServeContext& context_;
    RequestRouter& router_;
    std::unique_ptr<HttpListener> listener_;
    std::map<const HttpConnection*, Stream> streams_;
    std::uint64_t lastCaller_ { 0 };
    bool stopping_ { false };
};

} // namespace cassiahollow
