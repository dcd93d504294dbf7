#include "cassiahollow/connection/AnswerHistory.h"

#include <algorithm>
#include <xxhash.h>

namespace cassiahollow {

namespace {

    // Returns whether the signature is new on the connection.
    bool recordSignature(AnswerHistory& history, std::string_view signature)
    {
        const auto hash = XXH3_64bits(signature.data(), signature.size());
        const auto known = std::min(history.signatureCount_, AnswerHistory::rememberedSignatures);
        const auto end = history.signatures_.begin() + static_cast<std::ptrdiff_t>(known);
        if (std::find(history.signatures_.begin(), end, hash) != end)
            return false;
        history.signatures_[history.signatureCount_++ % AnswerHistory::rememberedSignatures] = hash;
        return true;
    }

    std::optional<AnswerFault> checkError(
        AnswerHistory& history, const AnswerExpectation& expected, const AnswerSummary& answer)
    {
        // In a transaction, an error leaves it failed: this one was to a statement outside, such as a refused begin.
        if (expected.isSigned_ && expected.mark_ == SessionMark::InTransaction && answer.mark_ == SessionMark::Idle)
            return AnswerFault::UnexpectedState;
        const bool isNew = history.errorCodes_.emplace(answer.errorCode_).second;
        return isNew || expected.acceptsRepeatedErrors_ ? std::nullopt : std::optional(AnswerFault::RepeatedError);
    }

    std::optional<AnswerFault> checkSuccess(
        const AnswerHistory& history, const AnswerExpectation& expected, const AnswerSummary& answer)
    {
        const bool isSigned = !answer.signature_.empty();
        if (expected.isSigned_ != isSigned)
            return isSigned ? AnswerFault::UnexpectedSignature : AnswerFault::MissingSignature;
        if (!expected.hasRows_ && answer.rows_ > 0)
            return AnswerFault::UnexpectedRows;
        if (expected.mark_ && answer.mark_ != *expected.mark_)
            return AnswerFault::UnexpectedState;
        // A promotion may cut the log back below what a signed answer stated; only unsigned ones date samples.
        if (!isSigned && answer.position_.term_ > 0 && answer.position_ < std::max(history.position_, expected.floor_))
            return AnswerFault::OlderPosition;
        return std::nullopt;
    }

} // namespace

std::string_view answerFaultName(AnswerFault fault)
{
    switch (fault) {
    case AnswerFault::Unasked:
        return "unasked";
    case AnswerFault::RepeatedSignature:
        return "repeated_signature";
    case AnswerFault::RepeatedError:
        return "repeated_error";
    case AnswerFault::MissingSignature:
        return "missing_signature";
    case AnswerFault::UnexpectedSignature:
        return "unexpected_signature";
    case AnswerFault::UnexpectedRows:
        return "unexpected_rows";
    case AnswerFault::UnexpectedState:
        return "unexpected_state";
    case AnswerFault::OlderPosition:
        return "older_position";
    case AnswerFault::Incomplete:
        return "incomplete";
    }
    return "unknown";
}

bool endsConnection(AnswerFault fault)
{
    return fault != AnswerFault::RepeatedSignature && fault != AnswerFault::RepeatedError;
}

std::optional<AnswerFault> checkAnswer(
    AnswerHistory& history, const AnswerExpectation* expected, const AnswerSummary& answer)
{
    const bool isSigned = answer.errorCode_.empty() && !answer.signature_.empty();
    if (isSigned && !recordSignature(history, answer.signature_))
        return AnswerFault::RepeatedSignature;
    if (!expected)
        return AnswerFault::Unasked;
    const auto fault
        = answer.errorCode_.empty() ? checkSuccess(history, *expected, answer) : checkError(history, *expected, answer);
    history.position_ = std::max(history.position_, answer.position_);
    return fault;
}

} // namespace cassiahollow
