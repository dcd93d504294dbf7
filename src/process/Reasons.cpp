#include "cassiahollow/process/Reasons.h"

namespace cassiahollow {

namespace {

    constexpr std::array<ReasonInfo, static_cast<std::size_t>(Reason::Count)> reasons { {
        { Reason::MalformedRequest, "malformed_request", Outcome::NotRun,
            "send a JSON object as docs/callers.md describes" },
        { Reason::RequestTooLarge, "request_too_large", Outcome::NotRun,
            "split the request or raise limits.max_request_bytes" },
        { Reason::RequestTooSlow, "request_too_slow", Outcome::NotRun,
            "send the whole request within limits.receive_timeout_ms" },
        { Reason::UnknownService, "unknown_service", Outcome::NotRun, "name a service of the settings tree" },
        { Reason::UnknownClass, "unknown_class", Outcome::NotRun, "name a class of the service" },
        { Reason::UnknownKey, "unknown_key", Outcome::NotRun, "send a key of a client account of the configuration" },
        { Reason::KeyRemoved, "key_removed", Outcome::NotRun, "connect with a key that the configuration has" },
        { Reason::KeysUnconfirmed, "keys_unconfirmed", Outcome::NotRun,
            "retry at another instance; this one may have missed a newer configuration" },
        { Reason::SessionTokenInvalid, "session_token_invalid", Outcome::NotRun,
            "send the last token received, or start a new session without one" },
        { Reason::KeyRequired, "key_required", Outcome::NotRun,
            "send a key of at most 128 characters that is unique to the request" },
        { Reason::ShuttingDown, "shutting_down", Outcome::NotRun, "connect again; another instance will answer" },
        { Reason::QuotaExceeded, "quota_exceeded", Outcome::NotRun, "retry after the named time, or raise the quota" },
        { Reason::QuotaUnavailable, "quota_unavailable", Outcome::NotRun,
            "retry after the named time; the owner of the quota did not answer" },
        { Reason::QueueFull, "queue_full", Outcome::NotRun, "retry later with backoff" },
        { Reason::DeadlineUnreachable, "deadline_unreachable", Outcome::NotRun,
            "retry later or with a longer deadline" },
        { Reason::DeadlinePassed, "deadline_passed", Outcome::NotRun, "retry with a longer deadline" },
        { Reason::GroupWithoutMajority, "group_without_majority", Outcome::NotRun,
            "retry when a majority of the group's endpoints is reachable" },
        { Reason::GroupWithoutPrimary, "group_without_primary", Outcome::NotRun, "retry when the promotion is over" },
        { Reason::PrimaryNotLeased, "primary_not_leased", Outcome::NotRun,
            "retry at another instance; this one cannot reach the control members" },
        { Reason::LeaseEnded, "lease_ended", Outcome::Unknown,
            "read back before a repetition; the primary was being replaced when it committed" },
        { Reason::GroupUnknown, "group_unknown", Outcome::NotRun,
            "check the service's group setting and that its endpoints announce themselves" },
        { Reason::EndpointLeaving, "endpoint_leaving", Outcome::NotRun,
            "retry; the request will go to another endpoint" },
        { Reason::NoEndpointForRead, "no_endpoint_for_read", Outcome::NotRun, "retry, or allow an older age" },
        { Reason::HolderUnreachable, "holder_unreachable", Outcome::NotRun,
            "retry; another instance takes the endpoint over" },
        { Reason::StaleTerm, "stale_term", Outcome::NotRun, "retry; the group has a new primary" },
        { Reason::StatementFailed, "statement_failed", Outcome::NotRun, "correct the statement" },
        { Reason::TransactionUnknown, "transaction_unknown", Outcome::NotRun,
            "begin a transaction on this connection first" },
        { Reason::TransactionIdle, "transaction_idle", Outcome::NotRun,
            "begin again and keep the time between statements below the idle limit" },
        { Reason::TransactionAborted, "transaction_aborted", Outcome::NotRun, "begin the transaction again" },
        { Reason::TooManyConnections, "too_many_connections", Outcome::NotRun,
            "connect again later or through another instance" },
        { Reason::ResponseLost, "answer_lost", Outcome::Unknown, "resend the request with the same key" },
        { Reason::NotConfirmed, "not_confirmed", Outcome::Unknown, "resend the request with the same key" },
        { Reason::RetryConnectionLost, "retry_connection_lost", Outcome::Unknown,
            "none needed; the request is tried again" },
        { Reason::RetryStaleRoute, "retry_stale_route", Outcome::NotRun, "none needed; the request is tried again" },
        { Reason::RetryHolderMoved, "retry_holder_moved", Outcome::NotRun, "none needed; the request is tried again" },
        { Reason::RetryReplicaBehind, "retry_replica_behind", Outcome::NotRun,
            "none needed; the read goes to the primary" },
        { Reason::RetryConnectionRefused, "retry_connection_refused", Outcome::NotRun,
            "none needed; the request is tried again" },
        { Reason::RetryBudgetSpent, "retry_budget_spent", Outcome::Unknown, "resend with the same key later" },
        { Reason::RetryResponseLate, "retry_answer_late", Outcome::NotRun,
            "none needed; the read was also sent to another endpoint" },
        { Reason::CredentialInvalid, "credential_invalid", Outcome::NotRun,
            "send the operator credential of the process settings" },
        { Reason::SettingsRevisionConflict, "settings_revision_conflict", Outcome::NotRun,
            "read the settings again and repeat the change on the new revision" },
        { Reason::SettingsInvalid, "settings_invalid", Outcome::NotRun, "correct the named path" },
        { Reason::NotLeader, "not_leader", Outcome::NotRun, "send the change to the leader" },
        { Reason::NoControlMajority, "no_control_majority", Outcome::NotRun,
            "repair control members until a majority is reachable" },
        { Reason::MessageMalformed, "message_malformed", Outcome::NotRun,
            "check that all instances run compatible versions" },
        { Reason::MessageUnauthentic, "message_unauthentic", Outcome::NotRun,
            "check that all instances have the same deployment key" },
        { Reason::MessageStaleIncarnation, "message_stale_incarnation", Outcome::NotRun,
            "none needed after a restart; else look for two instances with one id" },
        { Reason::MessageQueueFull, "message_queue_full", Outcome::NotRun,
            "look for an unreachable or overloaded instance" },
        { Reason::MessageRepeated, "message_repeated", Outcome::NotRun,
            "none needed; the first copy of the message is served" },
        { Reason::ResponseMismatched, "answer_mismatched", Outcome::Unknown,
            "none needed; the connection is replaced" },
        { Reason::AnswerUnasked, "answer_unasked", Outcome::Unknown,
            "look at the endpoint; it sends more answers than it gets statements" },
        { Reason::AnswerRepeated, "answer_repeated", Outcome::Unknown,
            "look at the endpoint; it answers statements twice" },
        { Reason::EndpointConnectFailed, "endpoint_connect_failed", Outcome::NotRun,
            "check the endpoint and the network to it" },
        { Reason::EndpointConnectionLimit, "endpoint_connection_limit", Outcome::NotRun,
            "look for other users of the endpoint's connections" },
        { Reason::EndpointSilent, "endpoint_silent", Outcome::Unknown, "check the endpoint and the network to it" },
        { Reason::StorageFailed, "storage_failed", Outcome::Unknown,
            "check space, permissions and health of the disk, and that no other process uses the data folder" },
        { Reason::StorageDamaged, "storage_damaged", Outcome::NotRun,
            "move the data folder away and start again; the member is admitted again under a new identity" },
        { Reason::MemoryFull, "memory_full", Outcome::NotRun,
            "retry later; on call, look at client_closed in the log for who fills the memory" },
        { Reason::StartTooSlow, "start_too_slow", Outcome::NotRun, "open the session as soon as it is connected" },
        { Reason::AnswersNotRead, "answers_not_read", Outcome::NotRun, "read the answers" },
    } };

    constexpr bool isInOrder()
    {
        for (std::size_t i = 0; i < reasons.size(); ++i) {
            if (reasons[i].reason_ != static_cast<Reason>(i) || reasons[i].name_.empty() || reasons[i].remedy_.empty())
                return false;
        }
        return true;
    }

    static_assert(isInOrder(), "each reason needs a name and a remedy, in the order of the enumeration");

} // namespace

const ReasonInfo& reasonInfo(Reason reason)
{
    return reasons[static_cast<std::size_t>(reason)];
}

const std::array<ReasonInfo, static_cast<std::size_t>(Reason::Count)>& allReasons()
{
    return reasons;
}

std::string failureMessage(const Failure& failure)
{
    const auto& info = reasonInfo(failure.reason_);
    std::string message(info.name_);
    if (!failure.detail_.empty())
        message.append(": ").append(failure.detail_);
    return message.append("; ").append(info.remedy_);
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace cassiahollow
