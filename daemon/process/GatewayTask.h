#pragma once

#include "cassiahollow/process/DirectoryFeed.h"
#include "cassiahollow/process/Mailbox.h"
#include "cassiahollow/process/MemberSelection.h"
#include "cassiahollow/process/Metrics.h"
#include "cassiahollow/process/Readiness.h"
#include "connection/HttpListener.h"
#include "connection/LineChannel.h"
#include "process/EventLoop.h"
#include "process/NodeSettings.h"
#include "process/PeerTask.h"
#include "request/StatementGateway.h"

#include <memory>
#include <variant>
#include <vector>

namespace cassiahollow {

/// An entry instance of the line protocol: serves clients, and keeps itself informed by control members. Owns the loop
/// of its process.
class GatewayTask {
public:
    GatewayTask(NodeSettings, Incarnation);
    GatewayTask(const GatewayTask&) = delete;
    GatewayTask& operator=(const GatewayTask&) = delete;

    boost::leaf::result<void> start();
    /// Runs until a shutdown is over.
    void run();

    struct Shutdown { };
    struct Reload {
        NodeSettings settings_;
    };
    /// Any thread.
    void post(Shutdown message) { mailbox_.post(message); }
    void post(Reload message) { mailbox_.post(std::move(message)); }

private:
    using Message = std::variant<Shutdown, Reload, PeerMessage>;

    void receiveAll();
    void receive(const Shutdown&);
    void receive(const Reload&);
    void receive(const PeerMessage&);
    void receiveFeed(const InstanceId& sender, const FeedResponse&);
    void handleCall(const HttpConnectionPtr&, const HttpRequest&);
    void ask();
    void askNow();
    void reportSoon();
    void replyMetrics(const HttpConnectionPtr&);
    Readiness readiness() const;
    void updateReadiness();
    void finishShutdown();
    bool isAnswered() const;
    void stopWhenAnswered();
    std::size_t unsentBytes() const; ///< Of answers to clients and other instances.

    NodeSettings settings_;
    EventLoop loop_;
    Metrics metrics_;
    Mailbox<Message> mailbox_;
    PeerTask peers_;
    StatementGateway gateway_;
    LineListener clients_;
    std::unique_ptr<LineListener> forwards_; ///< Statements of other entry instances.
    std::unique_ptr<HttpListener> readinessListener_;
    std::unique_ptr<HttpListener> metricsListener_;

    MemberSelection selection_;
    std::uint64_t number_ { 0 };
    TimePoint confirmed_; ///< When the last confirmed answer was asked for.
    std::map<std::uint64_t, TimePoint> askedAt_; ///< Of the latest requests to the selected member.
    bool reportDue_ { false }; ///< A question with fresh reports is scheduled.
    std::string registryMark_;
    std::uint64_t neighboursMark_ { 0 };
    std::uint64_t othersMark_ { 0 };
    bool shuttingDown_ { false };
    Readiness readiness_ { Readiness::Starting };
    TimePoint readinessSince_;
    TimePoint shutdownBegan_;
    TimePoint shutdownEnd_;
    bool wasAnswered_ { false }; ///< At the last check of a shutdown.
    bool mayStop_ { false };
};

} // namespace cassiahollow
