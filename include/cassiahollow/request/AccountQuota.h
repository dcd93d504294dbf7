#pragma once

#include "cassiahollow/process/Types.h"
#include "cassiahollow/version/ClientAccounts.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cassiahollow {

/// Quotas of client accounts over all instances together. In each data centre one instance owns an account's ledger;
/// an instance takes one token of it for each operation of its clients. See docs/design/account-quotas.md.
///
/// Covers the load pattern of one account that sends several times its usual load through all entry instances at once,
/// and that of small accounts whose only client is in one data centre.

/// Settings of the deployment; the same on all instances.
struct QuotaSettings {
    Duration window_ { std::chrono::seconds(5) }; ///< Limits hold in every sliding window of this length.
    double overage_ { 0.1 }; ///< The part of the limit by which a window may exceed it.
    double slack_ { 20 }; ///< Operations by which a window may exceed the limit and its overage.
    /// Data centres of the deployment, whether or not they can be reached: each earns an equal part of the rate.
    std::size_t dataCentres_ { 1 };
};

/// The entry instances as this instance knows them.
struct QuotaView {
    InstanceId self_;
    DataCentre dataCentre_; ///< Of this instance.
    std::map<DataCentre, std::vector<InstanceId>> instances_; ///< Those that take requests.
    std::size_t expected_ { 0 }; ///< Instances of the deployment as control members expect them; 0 if not known.
};

/// Asks the owner of an account's ledger for tokens.
struct QuotaRequest {
    AccountId account_;
    std::uint64_t number_ { 0 }; ///< Repeated in the reply.
    std::uint32_t waiting_ { 0 }; ///< Operations that wait for a token.
    std::uint32_t ahead_ { 0 }; ///< Tokens for operations that are expected soon.

    bool operator==(const QuotaRequest&) const = default;
};

/// The owner's reply. Its tokens can be used within tokenLifetime of the request.
struct QuotaGrant {
    AccountId account_;
    std::uint64_t number_ { 0 };
    std::uint32_t tokens_ { 0 };
    Duration comeBack_ { 0 }; ///< Until there will be a token again.
    bool isDeclined_ { false }; ///< The sender does not own the ledger.

    bool operator==(const QuotaGrant&) const = default;
};

/// Asks the owner of the account's ledger in another data centre for tokens that it does not need.
struct LoanRequest {
    AccountId account_;
    std::uint64_t number_ { 0 }; ///< Repeated in the reply.
    std::uint32_t wanted_ { 0 };

    bool operator==(const LoanRequest&) const = default;
};

/// The lender's reply. The tokens have been taken from its ledger.
struct QuotaLoan {
    AccountId account_;
    std::uint64_t number_ { 0 };
    std::uint32_t tokens_ { 0 };
    Duration comeBack_ { 0 }; ///< Until another request can succeed.
    bool isDeclined_ { false }; ///< The sender does not own the ledger.

    bool operator==(const QuotaLoan&) const = default;
};

/// The sender stops, and the receiver is the next owner of the account's ledger.
struct QuotaHandover {
    AccountId account_;
    std::uint32_t tokens_ { 0 }; ///< Taken from the sender's ledger.

    bool operator==(const QuotaHandover&) const = default;
};

using QuotaMessage = std::variant<QuotaRequest, QuotaGrant, LoanRequest, QuotaLoan, QuotaHandover>;

/// Maximum number of tokens in a message. More operations than these are never waiting for one reply.
inline constexpr std::uint32_t maximumQuotaTokens = 1000000;
/// Granted tokens expire this long after the request for them, by the clock of the instance that asked.
inline constexpr Duration tokenLifetime = std::chrono::milliseconds(500);
/// An operation waits this long for a token at most, and an owner without a reply is left out after this time.
inline constexpr Duration tokenWait = std::chrono::milliseconds(150);

/// Tokens that a ledger gave away, in intervals of equal length that cover the window and the time in which a token may
/// be held.
struct SpentTokens {
    static constexpr std::size_t intervals = 32;

    std::array<double, intervals> tokens_ {};
    std::int64_t latest_ { 0 }; ///< Number of the latest interval.
    double sum_ { 0 };
};

/// The ledger of one account in one data centre.
struct QuotaLedger {
    struct Waiting {
        InstanceId instance_;
        QuotaRequest request_;
        TimePoint arrived_;
    };
    struct PendingLoan {
        InstanceId lender_;
        DataCentre dataCentre_;
        std::uint64_t number_ { 0 };
        TimePoint askedAt_;
    };

    bool isOwner_ { false }; ///< By the own list of instances; otherwise this instance is a fallback owner.
    double balance_ { 0 };
    TimePoint updatedAt_; ///< Tokens are earned up to this time.
    TimePoint fullFrom_; ///< A part of the rate is earned before.
    SpentTokens spent_;
    double usePerSecond_ { 0 }; ///< Tokens granted lately.
    TimePoint usedAt_;
    std::vector<Waiting> waiting_;
    std::optional<PendingLoan> loan_;
    std::map<DataCentre, TimePoint> lenderPause_; ///< No loan is asked for before.
    DataCentre lastLender_;
};

/// The tokens of one account that an instance holds, and the operations that wait for one.
struct QuotaCache {
    struct Tokens {
        std::uint32_t count_ { 0 };
        TimePoint expiresAt_;
    };
    struct Operation {
        std::uint64_t number_ { 0 };
        TimePoint deadline_;
        bool isAsked_ { false }; ///< The outstanding request asks for its token.
    };
    struct Outstanding {
        InstanceId owner_;
        std::uint64_t number_ { 0 };
        TimePoint askedAt_;
    };

    std::vector<Tokens> tokens_; ///< By expiry.
    std::vector<Operation> waiting_;
    std::optional<Outstanding> asked_;
    double demandPerSecond_ { 0 };
    TimePoint demandAt_;
    TimePoint refusedUntil_; ///< The owner has no token before.
    bool isUnavailable_ { false }; ///< Or no owner can be asked before.
    std::map<InstanceId, TimePoint> declined_; ///< Instances that are not asked before these times.
};

/// Whether an operation may run.
struct QuotaDecision {
    AccountId account_;
    std::uint64_t operation_ { 0 };
    bool isAdmitted_ { false };
    Duration comeBack_ { 0 }; ///< If refused: when to try again.
    bool isUnavailable_ { false }; ///< If refused: no owner answered.
    TimePoint expiresAt_; ///< If admitted: until when the token can be given back.
};

struct QuotaSend {
    InstanceId to_;
    QuotaMessage message_;
};

/// What has to be carried out after an event.
struct QuotaActions {
    std::vector<QuotaSend> sends_;
    std::vector<QuotaDecision> decisions_;
};

/// The quotas of one instance. All of it is soft: it is lost with the process.
struct QuotaState {
    struct Avoided {
        TimePoint until_;
        int failures_ { 0 }; ///< In a row.
    };

    QuotaSettings settings_;
    QuotaView view_;
    std::map<AccountId, QuotaLimit> limits_;
    std::map<AccountId, QuotaCache> caches_;
    std::map<AccountId, QuotaLedger> ledgers_;
    std::map<InstanceId, Avoided> avoided_;
    std::map<InstanceId, TimePoint> left_; ///< Instances that gave up their ledgers, until these times.
    std::map<std::pair<AccountId, DataCentre>, std::vector<InstanceId>> orders_; ///< The first owners, once computed.
    std::set<AccountId> busy_; ///< Accounts with something that waits for a reply or a time.
    std::optional<TimePoint> knownSince_; ///< When the first instances became known.
    TimePoint neighboursSince_; ///< When the instances of the own data centre changed last.
    std::optional<TimePoint> confirmedAt_; ///< When the latest request was sent that a control member has answered.
    bool isStale_ { false }; ///< The list of instances has not been confirmed for too long.
    TimePoint sweptAt_; ///< When unused ledgers were dropped.
    std::uint64_t lastNumber_ { 0 };
    bool isStopping_ { false };
};

/// Applies the limits of a catalog. Lowered limits take effect at once.
void setQuotaLimits(QuotaState&, std::map<AccountId, QuotaLimit>, TimePoint now);
/// Applies a list of instances.
void setQuotaView(QuotaState&, QuotaView, TimePoint now, QuotaActions&);

/// A control member has answered a request that was sent at `askedAt`. Call it before setQuotaView().
void confirmQuotaView(QuotaState&, TimePoint askedAt, TimePoint now);

/// Takes a token for an operation. The decision is among the actions, of this call or of a later one.
void takeToken(
    QuotaState&, const AccountId&, std::uint64_t operation, TimePoint deadline, TimePoint now, QuotaActions&);
/// Gives back the token of an operation that was not sent anywhere.
void returnToken(QuotaState&, const QuotaDecision&, TimePoint now);
/// An operation that waits for a token has ended.
void cancelToken(QuotaState&, const AccountId&, std::uint64_t operation);

/// Handles a message of another instance.
void receiveQuota(QuotaState&, const InstanceId& from, const QuotaMessage&, TimePoint now, QuotaActions&);
/// The connection to an instance has ended; it is left out until the given time.
void loseInstance(QuotaState&, const InstanceId&, TimePoint avoidUntil, TimePoint now, QuotaActions&);
/// An instance has announced that it stops.
void leaveInstance(QuotaState&, const InstanceId&, TimePoint now, QuotaActions&);
/// This instance stops: its ledgers go to the next owners.
void giveUpLedgers(QuotaState&, TimePoint now, QuotaActions&);

/// Handles the passing of time. Has to be called at nextQuotaWakeup().
void wakeQuotas(QuotaState&, TimePoint now, QuotaActions&);
/// Nothing if there is nothing to wait for.
std::optional<TimePoint> nextQuotaWakeup(const QuotaState&);

/// The tokens that a ledger holds at most, and those with which a new one begins.
double quotaCap(const QuotaSettings&, const QuotaLimit&);
double firstTokens(const QuotaSettings&, const QuotaLimit&);

/// The instances that are asked for the account's tokens in a data centre, the owner first.
const std::vector<InstanceId>& quotaOwners(QuotaState&, const AccountId&, const DataCentre&);

} // namespace cassiahollow
