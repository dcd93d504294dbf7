#pragma once

#include "LineProtocol.h"
#include "cassiahollow/connection/SqlSession.h"
#include "cassiahollow/process/Metrics.h"
#include "connection/LineChannel.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cassiahollow {

/// The whole answer to one statement at an endpoint.
struct EndpointReply {
    std::vector<std::string> rows_;
    std::string signature_; ///< Empty when there was an error.
    std::optional<platform::EndpointError> error_;
    SessionMark mark_ { SessionMark::Idle };
    LogPosition position_;
    bool isUncertain_ { false }; ///< The error may be an earlier one again.
};

/// A statement on its way to an endpoint, and what its answer looks like.
struct EndpointStatement {
    std::string request_; ///< The client's id, or ownRequest.
    std::string text_;
    AnswerExpectation expected_;
};

/// A statement of the instance itself.
EndpointStatement ownStatement(std::string_view text, AnswerExpectation expected = {});
/// Begin and rollback of the instance itself.
EndpointStatement beginStatement(std::string_view text, const LogPosition& floor = {});
/// A begin that an endpoint refuses while it is behind the position.
EndpointStatement beginReadStatement(const LogPosition& floor);
EndpointStatement rollbackStatement();
/// A read, write or commit of a client.
EndpointStatement clientStatement(std::string request, std::string text, std::optional<SessionMark> mark);

/// One connection to an endpoint. Answers come in the order of the statements; whatever does not fit ends the
/// connection, so that an answer never reaches another statement.
class EndpointLink : public boost::intrusive_ref_counter<EndpointLink, boost::thread_unsafe_counter> {
public:
    /// Called with null when the connection ended before the whole answer had arrived.
    using Done = std::function<void(const EndpointReply*)>;

    struct Target {
        EndpointId endpoint_;
        GroupId group_;
        std::string address_;
        std::string instance_;
        AccountId account_ {}; ///< Whose statements may run on the connection; empty: of clients without an account.
    };
    struct Handlers {
        std::function<void()> ready_; ///< The endpoint has accepted the connection.
        std::function<void()> closed_; ///< The connection has ended by itself.
    };

    EndpointLink(LineSockets&, Metrics&, Target, std::chrono::milliseconds connectTime,
        std::chrono::milliseconds silence, Handlers);
    ~EndpointLink() { abandon(); }
    EndpointLink(const EndpointLink&) = delete;
    EndpointLink& operator=(const EndpointLink&) = delete;

    /// Sends a statement once the connection is ready; `done` is called once. If the connection ends before, nothing of
    /// the statement was sent.
    void exchange(EndpointStatement, Done done);
    /// Shows whether the answers are in step: one that is still to come reaches a begin or a rollback.
    /// Leaves no transaction open.
    void prove(SessionMark, std::function<void(bool isProven)> done);
    /// Ends the connection; the endpoint rolls back what is open on it. Waiting exchanges are told.
    void close();

    /// Ends the connection so that the endpoint learns it before it sees one that is opened after this call: otherwise
    /// both count towards its limit for a moment.
    void closeAtOnce();

    /// Ends the connection without telling anybody.
    void abandon();

    const EndpointId& endpoint() const { return target_.endpoint_; }
    const AccountId& account() const { return target_.account_; }
    bool isReady() const { return ready_ && !closed_; }
    bool isClosed() const { return closed_; }
    /// The endpoint had accepted the connection, whatever became of it.
    bool wasReady() const { return ready_; }
    bool isQuiet() const { return waiting_.empty(); }
    /// An error may have been an earlier one again, and the answer that was waited for is then still to come.
    bool needsProof() const { return needsProof_; }
    TimePoint readyAt() const { return readyAt_; }
    /// Why the endpoint refused the connection, if it did.
    std::optional<StatementError> refusal() const { return refusal_; }

    ConnectionSessionState fit_;
    bool taken_ { false }; ///< A statement or a transaction owns the connection.
    TimePoint used_; ///< The last use.
    TimePoint freeBy_ { TimePoint::max() }; ///< When the statement that owns the connection is expected to end.
    TimePoint answerBy_; ///< When the time limit of the statement under way ends; the epoch when there is none.

private:
    struct Waiting {
        std::string request_;
        AnswerExpectation expected_;
        Done done_;
    };

    void handle(const platform::EndpointMessage&);
    bool isAnswerWhole() const { return !reply_.signature_.empty() || reply_.error_; }
    void finishAnswer(const platform::EndpointReady&);
    void reportFault(AnswerFault) const;
    void reportUnwritable(std::string_view request) const;
    std::size_t receive(std::string_view);
    void end(bool tellOwner);

    Metrics& metrics_;
    const Target target_;
    Handlers handlers_;
    LineChannelPtr channel_;
    bool ready_ { false };
    TimePoint readyAt_;
    std::string held_; ///< Lines of statements that wait until the connection is ready.
    bool closed_ { false };
    std::optional<StatementError> refusal_;
    platform::LineReader reader_;
    std::deque<Waiting> waiting_;
    EndpointReply reply_;
    bool isReceiving_ { false }; ///< A part of an answer has come.
    bool wasAsked_ { false }; ///< A statement waited when the answer began.
    AnswerHistory history_;
    bool needsProof_ { false };
    std::string answeredRequest_; ///< Of the last answer.
    TimePoint answered_;
};

using EndpointLinkPtr = boost::intrusive_ptr<EndpointLink>;

} // namespace cassiahollow
