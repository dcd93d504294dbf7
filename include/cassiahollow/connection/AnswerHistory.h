#pragma once

#include "cassiahollow/process/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cassiahollow {

/// State of a connection's transaction, as the endpoint states it at the end of each answer.
enum class SessionMark : std::uint8_t { Idle, InTransaction, Failed };

/// What an endpoint's answer to a statement looks like when it belongs to that statement.
struct AnswerExpectation {
    bool isSigned_ { false }; ///< A success carries the endpoint's signature.
    bool hasRows_ { false }; ///< A success may carry rows.
    std::optional<SessionMark> mark_; ///< State that a success leaves; nothing if it does not change the state.
    LogPosition floor_; ///< The endpoint refuses the statement if its log lacks this position.
    /// Refusals may repeat, because nobody is told that the statement did not run.
    bool acceptsRepeatedErrors_ { false };
};

/// An answer without the contents of its rows.
struct AnswerSummary {
    std::size_t rows_ { 0 };
    std::string_view signature_; ///< Empty if the endpoint did not sign the answer.
    std::string_view errorCode_; ///< Empty for a success.
    SessionMark mark_ { SessionMark::Idle };
    LogPosition position_; ///< Term 0: not stated.
};

/// Why an answer cannot be the one to the statement that waits.
enum class AnswerFault : std::uint8_t {
    Unasked, ///< No statement waits.
    RepeatedSignature, ///< An earlier answer on the connection had this signature.
    RepeatedError, ///< An earlier answer on the connection had this error.
    MissingSignature, ///< The statement's success would be signed.
    UnexpectedSignature, ///< The statement is the instance's own.
    UnexpectedRows,
    UnexpectedState, ///< The statement's success would leave another transaction state.
    OlderPosition, ///< Without a signature, and from before an earlier answer on the connection or below the floor.
    Incomplete, ///< Neither a result nor an error, or both.
};
std::string_view answerFaultName(AnswerFault);

/// What a connection remembers of the answers that it has received. Answers carry no number, so one that comes twice
/// is told from the answer to the next statement by its contents.
struct AnswerHistory {
    /// A second answer that comes after this many others is not recognized any more.
    static constexpr std::size_t rememberedSignatures = 1024;

    std::array<std::uint64_t, rememberedSignatures> signatures_ {}; ///< Hashes; a ring.
    std::size_t signatureCount_ { 0 };
    std::set<std::string, std::less<>> errorCodes_;
    LogPosition position_; ///< The newest.
};

/// Checks the answer to the statement that has waited longest, and records it; null if none waits. The first error of a
/// kind on a connection is believed: no earlier answer can be mistaken for it. A second one may be the first again.
std::optional<AnswerFault> checkAnswer(AnswerHistory&, const AnswerExpectation*, const AnswerSummary&);

/// Whether the connection is of no use after the fault, because it is not known which statements its next answers
/// belong to. An answer with a signature that was carried before is known to be an earlier one again; the next is still
/// to come. After an error that may be an earlier one again, a begin and a rollback show whether it is.
bool endsConnection(AnswerFault);

} // namespace cassiahollow
