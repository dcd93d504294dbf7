#include "cassiahollow/request/AccountQuota.h"

#include "cassiahollow/process/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // Room for a burst, even of an account whose part in each data centre is less.
    constexpr double minimumCap = 2;
    // An instance earns this part of the rate while another one may own the ledger as well.
    constexpr double fallbackPart = 0.25;
    // Lists of instances reach the instances of a data centre within this time of each other: control members exchange
    // them every second.
    constexpr Duration listDelay = 1s;
    // Control members drop an instance from their lists that has not asked them for this long.
    constexpr Duration listLifetime = 3s;
    // Instances that start together know each other after two exchanges between control members.
    constexpr Duration settleTime = 2500ms;
    // Part of the overage that a ledger may use for tokens that are held for a while before their use. The rest is for
    // fallback owners while others still reach the owner.
    constexpr double heldOveragePart = 0.3;
    // Fallback owners give away this multiple of the overage in a window at most: a quarter of the rate for four
    // seconds, in which control members notice that the owner is gone.
    constexpr double fallbackOverage = 2;
    // Fallback owners of a ledger at most. More would earn too much together.
    constexpr std::size_t maximumFallbacks = 2;
    // An owner keeps a request for tokens that it expects; the rest of tokenWait is for the way.
    constexpr Duration holdTime = 100ms;
    // Tokens are asked for ahead of their use for this long.
    constexpr Duration aheadTime = 200ms;
    // Demand and use are averaged over this time.
    constexpr Duration averageTime = 1s;
    // A lender keeps its use of this time.
    constexpr Duration lenderReserve = 500ms;
    // A loan covers the use of this time, so that there are few of them.
    constexpr Duration loanTime = 250ms;
    // A reply from another data centre takes a few milliseconds. Tokens that arrive later are lost.
    constexpr Duration loanReplyTime = 60ms;
    // A data centre without tokens to lend is asked again after the time that it names, within these bounds.
    constexpr Duration minimumLenderPause = 50ms;
    constexpr Duration maximumLenderPause = 500ms;
    // An instance that does not own the ledger is asked again after this time: lists change rarely.
    constexpr Duration declinedPause = 250ms;
    // A silent instance is left out for this long, and twice as long after each further silence.
    constexpr Duration silentPause = 250ms;
    constexpr int maximumPauseDoublings = 3;
    // After a refusal, an instance asks again after the time that the owner names, within these bounds: soon enough
    // for a loan that arrives earlier, and not for each operation that is refused.
    constexpr Duration minimumRefusal = 20ms;
    constexpr Duration maximumRefusal = 250ms;
    // The time to come back that is told when no owner can be asked.
    constexpr Duration ownerlessComeBack = 250ms;
    constexpr Duration maximumComeBack = 60s;
    // Unused ledgers and caches are dropped after this time.
    constexpr Duration idleTime = 10s;
    // An instance that has announced its end is out of all lists within this time: an exchange between control members,
    // and an interval of the feed. After a longer time, it may have been started again.
    constexpr Duration leavingTime = 1500ms;
    // Rounding of sums of fractions.
    constexpr double epsilon = 1e-9;

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    Duration toDuration(double value)
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::clamp(value, 0.0, seconds(maximumComeBack))));
    }

    double dataCentres(const QuotaSettings& settings)
    {
        return static_cast<double>(std::max<std::size_t>(1, settings.dataCentres_));
    }

    double rateOf(const QuotaSettings& settings, const QuotaLimit& limit)
    {
        return limit.ratePerSecond_ / dataCentres(settings);
    }

    std::uint32_t wholeTokens(double tokens)
    {
        return tokens < 1 - epsilon
            ? 0
            : static_cast<std::uint32_t>(std::min<double>(std::floor(tokens + epsilon), maximumQuotaTokens));
    }

    // An average over averageTime of events that are counted one by one.
    double decayed(double perSecond, TimePoint since, TimePoint now)
    {
        return now <= since ? perSecond : perSecond * std::exp(-seconds(now - since) / seconds(averageTime));
    }

    void countEvents(double& perSecond, TimePoint& since, double events, TimePoint now)
    {
        perSecond = decayed(perSecond, since, now) + events / seconds(averageTime);
        since = std::max(since, now);
    }

    // The time in which tokens of one ledger can be used by operations that were sent within one window.
    Duration spentTime(const QuotaSettings& settings)
    {
        return settings.window_ + tokenLifetime + tokenWait;
    }

    void advanceSpent(const QuotaSettings& settings, SpentTokens& spent, TimePoint now)
    {
        // Two intervals more than the time needs, because the first and the last one are partly used.
        constexpr auto count = static_cast<std::int64_t>(SpentTokens::intervals);
        const auto length = spentTime(settings) / (count - 2);
        const std::int64_t latest = now.time_since_epoch() / length;
        if (latest <= spent.latest_)
            return;
        for (auto i = std::max(spent.latest_ + 1, latest - count + 1); i <= latest; ++i)
            spent.tokens_[static_cast<std::size_t>(i % count)] = 0;
        spent.latest_ = latest;
        spent.sum_ = 0;
        for (const auto tokens : spent.tokens_)
            spent.sum_ += tokens;
    }

    void recordSpent(SpentTokens& spent, double tokens)
    {
        spent.tokens_[static_cast<std::size_t>(spent.latest_ % static_cast<std::int64_t>(SpentTokens::intervals))]
            += tokens;
        spent.sum_ += tokens;
    }

    // Part of the expected instances that are known. Instances that start together each know few others, and would
    // each take themselves for the owner.
    double knownPart(const QuotaState& state)
    {
        std::size_t known = 0;
        for (const auto& [dataCentre, instances] : state.view_.instances_)
            known += instances.size();
        if (state.view_.expected_ <= known)
            return 1;
        return static_cast<double>(known) / static_cast<double>(state.view_.expected_);
    }

    TimePoint settledAt(const QuotaState& state)
    {
        return state.knownSince_.value_or(TimePoint()) + settleTime;
    }

    // Tokens with which a ledger begins that may have had another owner just before.
    double beginningTokens(const QuotaState& state, const QuotaLimit& limit, bool isOwner, TimePoint now)
    {
        return firstTokens(state.settings_, limit) * (isOwner ? 1 : fallbackPart)
            * (now < settledAt(state) ? knownPart(state) : 1);
    }

    // The time for which the full rate is earned that yields as much as the parts of it from one time to another.
    double earningSeconds(const QuotaState& state, const QuotaLedger& ledger, TimePoint from, TimePoint to)
    {
        double sum = 0;
        const auto settled = settledAt(state);
        while (from < to) {
            auto end = to;
            for (const auto& boundary : { ledger.fullFrom_, settled }) {
                if (from < boundary && boundary < end)
                    end = boundary;
            }
            const double part = (from < ledger.fullFrom_ ? fallbackPart : 1) * (from < settled ? knownPart(state) : 1);
            sum += part * seconds(end - from);
            from = end;
        }
        return sum;
    }

    void refill(const QuotaState& state, QuotaLedger& ledger, const QuotaLimit& limit, TimePoint now)
    {
        advanceSpent(state.settings_, ledger.spent_, now);
        if (now <= ledger.updatedAt_)
            return;
        const double earned = rateOf(state.settings_, limit) * earningSeconds(state, ledger, ledger.updatedAt_, now);
        ledger.balance_ = std::min(quotaCap(state.settings_, limit), ledger.balance_ + earned);
        ledger.updatedAt_ = now;
    }

    // What the ledger may still give away in the current window. The balance alone allows more, because a token may be
    // used some time after it was granted.
    double spendable(const QuotaState& state, const QuotaLedger& ledger, const QuotaLimit& limit)
    {
        const auto& settings = state.settings_;
        const double perWindow = rateOf(settings, limit) * seconds(settings.window_);
        const double bound = ledger.isOwner_
            ? quotaCap(settings, limit) + perWindow * (1 + settings.overage_ * heldOveragePart)
            : firstTokens(settings, limit) * fallbackPart + perWindow * settings.overage_ * fallbackOverage;
        return std::min(ledger.balance_, bound - ledger.spent_.sum_);
    }

    void spend(QuotaLedger& ledger, std::uint32_t tokens)
    {
        ledger.balance_ -= tokens;
        recordSpent(ledger.spent_, tokens);
    }

    Duration timeToToken(const QuotaState& state, const QuotaLedger& ledger, const QuotaLimit& limit, double before)
    {
        const double rate = rateOf(state.settings_, limit) * (ledger.isOwner_ ? 1 : fallbackPart);
        const double missing = before + 1 - spendable(state, ledger, limit);
        if (missing <= 0)
            return Duration::zero();
        return rate <= 0 ? maximumComeBack : toDuration(missing / rate);
    }

    bool isAvoided(const QuotaState& state, const InstanceId& instance, TimePoint now)
    {
        const auto found = state.avoided_.find(instance);
        return found != state.avoided_.end() && now < found->second.until_;
    }

    // The place of this instance among those that are asked for the account's tokens, if it is one of them.
    std::optional<std::size_t> ownRank(QuotaState& state, const AccountId& account)
    {
        const auto& order = quotaOwners(state, account, state.view_.dataCentre_);
        const auto found = std::find(order.begin(), order.end(), state.view_.self_);
        if (found == order.end())
            return std::nullopt;
        return static_cast<std::size_t>(found - order.begin());
    }

    // Another instance may own the ledger too, or may have until now.
    void beginLedger(const QuotaState& state, QuotaLedger& ledger, const QuotaLimit& limit, bool isOwner, TimePoint now)
    {
        ledger.isOwner_ = isOwner;
        ledger.balance_ = std::min(ledger.balance_, beginningTokens(state, limit, isOwner, now));
        ledger.updatedAt_ = now;
        ledger.fullFrom_ = isOwner && !state.isStale_ ? now + listDelay : TimePoint::max();
    }

    // The ledger of an account, or null if this instance is not asked for its tokens.
    QuotaLedger* ledgerFor(QuotaState& state, const AccountId& account, TimePoint now)
    {
        const auto limit = state.limits_.find(account);
        const auto rank = ownRank(state, account);
        if (limit == state.limits_.end() || !rank || state.isStopping_)
            return nullptr;
        const auto [found, isNew] = state.ledgers_.try_emplace(account);
        auto& ledger = found->second;
        if (isNew) {
            // Since the list changed last, nobody else was the owner by this list.
            ledger.balance_ = quotaCap(state.settings_, limit->second);
            beginLedger(state, ledger, limit->second, *rank == 0, *rank == 0 ? state.neighboursSince_ : now);
        }
        refill(state, ledger, limit->second, now);
        return &ledger;
    }

    // Follows a change of the list of instances.
    void updateOwnership(QuotaState& state, TimePoint now)
    {
        state.orders_.clear();
        for (auto& [account, ledger] : state.ledgers_) {
            const auto& limit = state.limits_.at(account);
            const bool isOwner = ownRank(state, account) == std::size_t { 0 };
            if (isOwner == ledger.isOwner_)
                continue;
            refill(state, ledger, limit, now);
            beginLedger(state, ledger, limit, isOwner, now);
        }
    }

    // All ledgers begin anew, because this instance was replaced as an owner or will be.
    void beginAnew(QuotaState& state, TimePoint now)
    {
        state.neighboursSince_ = now;
        for (auto& [account, ledger] : state.ledgers_) {
            refill(state, ledger, state.limits_.at(account), now);
            beginLedger(state, ledger, state.limits_.at(account), ledger.isOwner_, now);
        }
    }

    // Without contact, also because of a suspend, this instance has left the lists of the others, which have another
    // owner.
    void noteTime(QuotaState& state, TimePoint now)
    {
        if (state.isStale_ || !state.confirmedAt_ || now - *state.confirmedAt_ <= listLifetime)
            return;
        state.isStale_ = true;
        beginAnew(state, now);
    }

    void markBusy(QuotaState& state, const AccountId& account)
    {
        state.busy_.insert(account);
    }

    void send(QuotaState&, const InstanceId& to, QuotaMessage message, QuotaActions& actions)
    {
        actions.sends_.push_back({ to, std::move(message) });
    }

    void refuse(
        const AccountId& account, std::uint64_t operation, Duration comeBack, bool isUnavailable, QuotaActions& actions)
    {
        actions.decisions_.push_back(
            { account, operation, false, std::max<Duration>(comeBack, 1ms), isUnavailable, {} });
    }

    // Owners.

    std::optional<std::pair<DataCentre, InstanceId>> lenderFor(
        QuotaState& state, const AccountId& account, const QuotaLedger& ledger, TimePoint now)
    {
        // The data centres take turns.
        std::vector<DataCentre> candidates;
        for (const auto& [dataCentre, instances] : state.view_.instances_) {
            if (dataCentre != state.view_.dataCentre_ && !instances.empty())
                candidates.push_back(dataCentre);
        }
        const auto next = std::upper_bound(candidates.begin(), candidates.end(), ledger.lastLender_);
        std::rotate(candidates.begin(), next, candidates.end());
        for (const auto& dataCentre : candidates) {
            const auto pause = ledger.lenderPause_.find(dataCentre);
            if (pause != ledger.lenderPause_.end() && now < pause->second)
                continue;
            const auto& order = quotaOwners(state, account, dataCentre);
            if (!order.empty() && !isAvoided(state, order.front(), now))
                return std::pair(dataCentre, order.front());
        }
        return std::nullopt;
    }

    void borrow(QuotaState& state, const AccountId& account, QuotaLedger& ledger, const QuotaLimit& limit,
        TimePoint now, QuotaActions& actions)
    {
        if (ledger.loan_)
            return;
        double waiting = 0;
        for (const auto& item : ledger.waiting_)
            waiting += item.request_.waiting_;
        const double use = decayed(ledger.usePerSecond_, ledger.usedAt_, now);
        const double cap = quotaCap(state.settings_, limit);
        const double balance = std::max(0.0, ledger.balance_);
        // Borrowed ahead of the need, so that few operations wait for the other data centre.
        const bool isShort = !ledger.waiting_.empty() || balance < std::min(cap / 2, use * seconds(aheadTime));
        const double room = waiting + cap - balance;
        const auto wanted = static_cast<std::uint32_t>(
            std::clamp(std::ceil(waiting + use * seconds(loanTime)), 1.0, std::floor(std::max(1.0, room))));
        if (!isShort || room < 1)
            return;
        const auto lender = lenderFor(state, account, ledger, now);
        if (!lender)
            return;
        ledger.lastLender_ = lender->first;
        ledger.loan_ = { lender->second, lender->first, ++state.lastNumber_, now };
        markBusy(state, account);
        send(state, lender->second, LoanRequest { account, ledger.loan_->number_, wanted }, actions);
    }

    void reply(QuotaState& state, const AccountId& account, const QuotaLedger::Waiting& item, std::uint32_t tokens,
        Duration comeBack, QuotaActions& actions)
    {
        send(state, item.instance_, QuotaGrant { account, item.request_.number_, tokens, comeBack, false }, actions);
    }

    // Grants tokens to the requests in the order of their arrival.
    void serve(QuotaState& state, const AccountId& account, QuotaLedger& ledger, TimePoint now, QuotaActions& actions)
    {
        const auto& limit = state.limits_.at(account);
        refill(state, ledger, limit, now);
        while (!ledger.waiting_.empty()) {
            const auto& item = ledger.waiting_.front();
            const auto& request = item.request_;
            auto tokens = std::min(request.waiting_, wholeTokens(spendable(state, ledger, limit)));
            if (tokens == 0 && request.waiting_ > 0)
                break;
            spend(ledger, tokens);
            // While tokens are short, they are for operations that wait.
            if (ledger.waiting_.size() == 1) {
                const auto spare = wholeTokens(spendable(state, ledger, limit) - quotaCap(state.settings_, limit) / 2);
                const auto ahead = std::min(request.ahead_, spare);
                spend(ledger, ahead);
                tokens += ahead;
            }
            countEvents(ledger.usePerSecond_, ledger.usedAt_, tokens, now);
            reply(state, account, item, tokens, timeToToken(state, ledger, limit, 0), actions);
            ledger.waiting_.erase(ledger.waiting_.begin());
        }
        borrow(state, account, ledger, limit, now, actions);
        // What cannot be granted in time is refused at once.
        double before = 0;
        for (auto item = ledger.waiting_.begin(); item != ledger.waiting_.end();) {
            const auto expected = timeToToken(state, ledger, limit, before);
            const bool isLate = now - item->arrived_ >= holdTime;
            if (isLate || (!ledger.loan_ && now + expected > item->arrived_ + holdTime)) {
                reply(state, account, *item, 0, expected, actions);
                item = ledger.waiting_.erase(item);
                continue;
            }
            before += item->request_.waiting_;
            ++item;
        }
        if (!ledger.waiting_.empty())
            markBusy(state, account);
    }

    void handle(
        QuotaState& state, const InstanceId& from, const QuotaRequest& request, TimePoint now, QuotaActions& actions)
    {
        auto* ledger = ledgerFor(state, request.account_, now);
        if (!ledger)
            return send(state, from, QuotaGrant { request.account_, request.number_, 0, {}, true }, actions);
        // An instance has one request outstanding; it has given up an earlier one.
        std::erase_if(ledger->waiting_, [&](const auto& item) { return item.instance_ == from; });
        ledger->waiting_.push_back({ from, request, now });
        serve(state, request.account_, *ledger, now, actions);
    }

    void handle(
        QuotaState& state, const InstanceId& from, const LoanRequest& request, TimePoint now, QuotaActions& actions)
    {
        auto* ledger = ledgerFor(state, request.account_, now);
        if (!ledger || !ledger->isOwner_)
            return send(state, from, QuotaLoan { request.account_, request.number_, 0, {}, true }, actions);
        const auto& limit = state.limits_.at(request.account_);
        const double use = decayed(ledger->usePerSecond_, ledger->usedAt_, now);
        const double rate = rateOf(state.settings_, limit);
        const double reserve = std::min(quotaCap(state.settings_, limit) / 2, use * seconds(lenderReserve));
        const bool needsAll = !ledger->waiting_.empty() || use >= rate;
        const auto spare = needsAll ? 0 : wholeTokens(spendable(state, *ledger, limit) - reserve);
        const auto tokens = std::min(request.wanted_, spare);
        spend(*ledger, tokens);
        const auto comeBack = timeToToken(state, *ledger, limit, reserve);
        send(state, from, QuotaLoan { request.account_, request.number_, tokens, comeBack, false }, actions);
    }

    void handle(
        QuotaState& state, const InstanceId& from, const QuotaLoan& message, TimePoint now, QuotaActions& actions)
    {
        const auto found = state.ledgers_.find(message.account_);
        if (found == state.ledgers_.end())
            return;
        auto& ledger = found->second;
        if (!ledger.loan_ || ledger.loan_->lender_ != from || ledger.loan_->number_ != message.number_)
            return;
        const auto& limit = state.limits_.at(message.account_);
        const auto dataCentre = ledger.loan_->dataCentre_;
        ledger.loan_.reset();
        refill(state, ledger, limit, now);
        ledger.balance_ += message.tokens_;
        // The lender has counted them as spent.
        recordSpent(ledger.spent_, -static_cast<double>(message.tokens_));
        if (message.isDeclined_) {
            ledger.lenderPause_[dataCentre] = now + declinedPause;
        } else if (message.tokens_ == 0) {
            ledger.lenderPause_[dataCentre]
                = now + std::clamp(message.comeBack_, minimumLenderPause, maximumLenderPause);
        }
        serve(state, message.account_, ledger, now, actions);
        ledger.balance_ = std::min(ledger.balance_, quotaCap(state.settings_, limit));
    }

    // Instances that hold tokens.

    void dropExpired(QuotaCache& cache, TimePoint now)
    {
        while (!cache.tokens_.empty() && (cache.tokens_.front().expiresAt_ <= now || cache.tokens_.front().count_ == 0))
            cache.tokens_.erase(cache.tokens_.begin());
    }

    void admitWaiting(const AccountId& account, QuotaCache& cache, TimePoint now, QuotaActions& actions)
    {
        dropExpired(cache, now);
        while (!cache.waiting_.empty() && !cache.tokens_.empty()) {
            auto& tokens = cache.tokens_.front();
            actions.decisions_.push_back(
                { account, cache.waiting_.front().number_, true, {}, false, tokens.expiresAt_ });
            cache.waiting_.erase(cache.waiting_.begin());
            --tokens.count_;
            dropExpired(cache, now);
        }
    }

    void refuseWaiting(const AccountId& account, QuotaCache& cache, Duration comeBack, bool isUnavailable,
        TimePoint now, QuotaActions& actions)
    {
        cache.refusedUntil_ = now + std::clamp(comeBack, minimumRefusal, maximumRefusal);
        cache.isUnavailable_ = isUnavailable;
        for (const auto& operation : std::exchange(cache.waiting_, {}))
            refuse(account, operation.number_, comeBack, isUnavailable, actions);
    }

    std::optional<InstanceId> ownerFor(
        QuotaState& state, const AccountId& account, const QuotaCache& cache, TimePoint now)
    {
        for (const auto& instance : quotaOwners(state, account, state.view_.dataCentre_)) {
            const auto declined = cache.declined_.find(instance);
            const bool hasDeclined = declined != cache.declined_.end() && now < declined->second;
            if (!hasDeclined && !isAvoided(state, instance, now))
                return instance;
        }
        return std::nullopt;
    }

    // Asks the owner for the tokens of the operations that wait, and for those that are expected soon.
    void ask(QuotaState& state, const AccountId& account, QuotaCache& cache, TimePoint now, QuotaActions& actions)
    {
        if (cache.asked_ || now < cache.refusedUntil_)
            return;
        std::uint32_t held = 0;
        for (const auto& tokens : cache.tokens_)
            held += tokens.count_;
        const double expected = decayed(cache.demandPerSecond_, cache.demandAt_, now) * seconds(aheadTime);
        const auto ahead = wholeTokens(expected - held);
        // Half of them are used when more are asked for.
        const bool isLow = ahead > 0 && held < expected / 2;
        if (cache.waiting_.empty() && !isLow)
            return;
        const auto owner = ownerFor(state, account, cache, now);
        if (!owner)
            return refuseWaiting(account, cache, ownerlessComeBack, true, now, actions);
        for (auto& operation : cache.waiting_)
            operation.isAsked_ = true;
        cache.asked_ = { *owner, ++state.lastNumber_, now };
        markBusy(state, account);
        send(state, *owner,
            QuotaRequest { account, cache.asked_->number_, static_cast<std::uint32_t>(cache.waiting_.size()), ahead },
            actions);
    }

    void handle(
        QuotaState& state, const InstanceId& from, const QuotaGrant& grant, TimePoint now, QuotaActions& actions)
    {
        const auto found = state.caches_.find(grant.account_);
        if (found == state.caches_.end())
            return;
        auto& cache = found->second;
        if (!cache.asked_ || cache.asked_->owner_ != from || cache.asked_->number_ != grant.number_)
            return;
        const auto askedAt = cache.asked_->askedAt_;
        cache.asked_.reset();
        state.avoided_.erase(from);
        if (grant.isDeclined_) {
            cache.declined_[from] = now + declinedPause;
            return ask(state, grant.account_, cache, now, actions);
        }
        if (grant.tokens_ > 0)
            cache.tokens_.push_back({ grant.tokens_, askedAt + tokenLifetime });
        admitWaiting(grant.account_, cache, now, actions);
        const bool isRefused = grant.tokens_ == 0 && !cache.waiting_.empty() && cache.waiting_.front().isAsked_;
        if (isRefused)
            return refuseWaiting(grant.account_, cache, grant.comeBack_, false, now, actions);
        if (!cache.waiting_.empty())
            ask(state, grant.account_, cache, now, actions);
    }

    void handle(
        QuotaState& state, const InstanceId& from, const QuotaHandover& message, TimePoint now, QuotaActions& actions)
    {
        leaveInstance(state, from, now, actions);
        auto* ledger = ledgerFor(state, message.account_, now);
        if (!ledger || !ledger->isOwner_ || state.isStale_)
            return;
        const auto& limit = state.limits_.at(message.account_);
        // The previous owner grants nothing any more.
        ledger->fullFrom_ = now;
        ledger->balance_ = std::min(ledger->balance_ + message.tokens_, quotaCap(state.settings_, limit));
        recordSpent(ledger->spent_, -static_cast<double>(message.tokens_));
        serve(state, message.account_, *ledger, now, actions);
    }

    // Messages of this instance to itself are handled at once.
    void deliverOwn(QuotaState& state, TimePoint now, QuotaActions& actions)
    {
        for (std::size_t i = 0; i < actions.sends_.size();) {
            if (actions.sends_[i].to_ != state.view_.self_) {
                ++i;
                continue;
            }
            const auto message = std::move(actions.sends_[i].message_);
            actions.sends_.erase(actions.sends_.begin() + static_cast<std::ptrdiff_t>(i));
            std::visit([&](const auto& body) { handle(state, state.view_.self_, body, now, actions); }, message);
        }
    }

    // Requests to an instance that does not reply go to the next one.
    void abandonRequests(QuotaState& state, const InstanceId& instance, TimePoint now, QuotaActions& actions)
    {
        const auto accounts = state.busy_;
        for (const auto& account : accounts) {
            if (const auto cache = state.caches_.find(account);
                cache != state.caches_.end() && cache->second.asked_ && cache->second.asked_->owner_ == instance) {
                cache->second.asked_.reset();
                ask(state, account, cache->second, now, actions);
            }
            if (const auto ledger = state.ledgers_.find(account);
                ledger != state.ledgers_.end() && ledger->second.loan_ && ledger->second.loan_->lender_ == instance) {
                ledger->second.lenderPause_[ledger->second.loan_->dataCentre_] = now + minimumLenderPause;
                ledger->second.loan_.reset();
                serve(state, account, ledger->second, now, actions);
            }
        }
    }

    void avoidSilent(QuotaState& state, const InstanceId& instance, TimePoint now)
    {
        auto& avoided = state.avoided_[instance];
        avoided.until_ = now + silentPause * (1 << std::min(avoided.failures_, maximumPauseDoublings));
        ++avoided.failures_;
    }

    void wakeCache(QuotaState& state, const AccountId& account, QuotaCache& cache, TimePoint now, QuotaActions& actions)
    {
        if (cache.asked_ && now - cache.asked_->askedAt_ >= tokenWait) {
            avoidSilent(state, cache.asked_->owner_, now);
            cache.asked_.reset();
        }
        admitWaiting(account, cache, now, actions);
        std::erase_if(cache.waiting_, [&](const QuotaCache::Operation& operation) {
            if (now < operation.deadline_)
                return false;
            refuse(account, operation.number_, ownerlessComeBack, true, actions);
            return true;
        });
        if (!cache.waiting_.empty())
            ask(state, account, cache, now, actions);
    }

    void wakeLedger(
        QuotaState& state, const AccountId& account, QuotaLedger& ledger, TimePoint now, QuotaActions& actions)
    {
        if (ledger.loan_ && now - ledger.loan_->askedAt_ >= loanReplyTime) {
            ledger.lenderPause_[ledger.loan_->dataCentre_] = now + maximumLenderPause;
            ledger.loan_.reset();
        }
        serve(state, account, ledger, now, actions);
    }

    bool isBusy(const QuotaState& state, const AccountId& account)
    {
        const auto cache = state.caches_.find(account);
        if (cache != state.caches_.end() && (cache->second.asked_ || !cache->second.waiting_.empty()))
            return true;
        const auto ledger = state.ledgers_.find(account);
        return ledger != state.ledgers_.end() && (ledger->second.loan_ || !ledger->second.waiting_.empty());
    }

    // Drops what has not been used for long. An idle ledger is dropped when it is full, because a new one is full after
    // the same time.
    void sweep(QuotaState& state, TimePoint now)
    {
        const auto idle = std::max<Duration>(idleTime, 2 * state.settings_.window_);
        if (now - state.sweptAt_ < idle)
            return;
        state.sweptAt_ = now;
        std::erase_if(state.caches_,
            [&](const auto& item) { return now - item.second.demandAt_ > idle && !state.busy_.contains(item.first); });
        for (auto item = state.ledgers_.begin(); item != state.ledgers_.end();) {
            auto& [account, ledger] = *item;
            const auto& limit = state.limits_.at(account);
            refill(state, ledger, limit, now);
            const bool isFull = !ledger.isOwner_ || ledger.balance_ >= quotaCap(state.settings_, limit) - epsilon;
            const bool isUnused = isFull && now - ledger.usedAt_ > idle && !state.busy_.contains(account);
            item = isUnused ? state.ledgers_.erase(item) : std::next(item);
        }
    }

} // namespace

double quotaCap(const QuotaSettings& settings, const QuotaLimit& limit)
{
    return std::max(minimumCap, limit.burst_ / dataCentres(settings));
}

double firstTokens(const QuotaSettings& settings, const QuotaLimit& limit)
{
    return std::min(quotaCap(settings, limit), settings.slack_ / (2 * dataCentres(settings)));
}

const std::vector<InstanceId>& quotaOwners(QuotaState& state, const AccountId& account, const DataCentre& dataCentre)
{
    const auto [found, isNew] = state.orders_.try_emplace({ account, dataCentre });
    if (!isNew)
        return found->second;
    const auto instances = state.view_.instances_.find(dataCentre);
    if (instances == state.view_.instances_.end())
        return found->second;
    std::vector<InstanceId> present;
    std::copy_if(instances->second.begin(), instances->second.end(), std::back_inserter(present),
        [&](const InstanceId& instance) { return !state.left_.contains(instance); });
    found->second = rendezvousOrder(present, account.value_);
    if (found->second.size() > 1 + maximumFallbacks)
        found->second.resize(1 + maximumFallbacks);
    return found->second;
}

void setQuotaLimits(QuotaState& state, std::map<AccountId, QuotaLimit> limits, TimePoint now)
{
    noteTime(state, now);
    for (auto& [account, ledger] : state.ledgers_) {
        refill(state, ledger, state.limits_.at(account), now);
        const auto found = limits.find(account);
        if (found == limits.end())
            continue;
        ledger.balance_ = std::min(ledger.balance_, quotaCap(state.settings_, found->second));
        // The new limit counts from now on.
        if (found->second != state.limits_.at(account))
            ledger.spent_ = {};
    }
    for (auto& [account, cache] : state.caches_) {
        const auto found = limits.find(account);
        const auto known = state.limits_.find(account);
        const bool isLowered = found != limits.end() && known != state.limits_.end()
            && (found->second.ratePerSecond_ < known->second.ratePerSecond_
                || found->second.burst_ < known->second.burst_);
        if (isLowered)
            cache.tokens_.clear();
    }
    std::erase_if(state.ledgers_, [&](const auto& item) { return !limits.contains(item.first); });
    state.limits_ = std::move(limits);
}

void setQuotaView(QuotaState& state, QuotaView view, TimePoint now, QuotaActions& actions)
{
    noteTime(state, now);
    const auto neighboursOf = [](const QuotaView& of) {
        const auto found = of.instances_.find(of.dataCentre_);
        return found == of.instances_.end() ? std::vector<InstanceId>() : found->second;
    };
    const auto neighbours = neighboursOf(view);
    // What was earned until now was earned by the earlier view.
    for (auto& [account, ledger] : state.ledgers_)
        refill(state, ledger, state.limits_.at(account), now);
    if (neighbours != neighboursOf(state.view_) || !state.knownSince_)
        state.neighboursSince_ = now;
    if (!state.knownSince_ && !neighbours.empty())
        state.knownSince_ = now;
    state.view_ = std::move(view);
    std::set<InstanceId> known;
    for (const auto& [dataCentre, instances] : state.view_.instances_)
        known.insert(instances.begin(), instances.end());
    if (std::erase_if(state.left_, [&](const auto& item) { return !known.contains(item.first); }) > 0)
        state.neighboursSince_ = now;
    std::erase_if(state.avoided_, [&](const auto& item) { return !known.contains(item.first); });
    updateOwnership(state, now);
    std::set<InstanceId> gone;
    for (const auto& account : state.busy_) {
        const auto cache = state.caches_.find(account);
        if (cache != state.caches_.end() && cache->second.asked_ && !known.contains(cache->second.asked_->owner_))
            gone.insert(cache->second.asked_->owner_);
    }
    for (const auto& instance : gone)
        abandonRequests(state, instance, now, actions);
    deliverOwn(state, now, actions);
}

void confirmQuotaView(QuotaState& state, TimePoint askedAt, TimePoint now)
{
    state.confirmedAt_ = std::max(state.confirmedAt_.value_or(askedAt), askedAt);
    const bool isStale = now - *state.confirmedAt_ > listLifetime;
    if (!isStale && std::exchange(state.isStale_, false))
        beginAnew(state, now);
}

void takeToken(QuotaState& state, const AccountId& account, std::uint64_t operation, TimePoint deadline, TimePoint now,
    QuotaActions& actions)
{
    noteTime(state, now);
    auto& cache = state.caches_[account];
    countEvents(cache.demandPerSecond_, cache.demandAt_, 1, now);
    dropExpired(cache, now);
    if (cache.tokens_.empty() && now < cache.refusedUntil_)
        return refuse(account, operation, cache.refusedUntil_ - now, cache.isUnavailable_, actions);
    cache.waiting_.push_back({ operation, std::min(deadline, now + tokenWait), false });
    admitWaiting(account, cache, now, actions);
    if (!cache.waiting_.empty())
        markBusy(state, account);
    ask(state, account, cache, now, actions);
    deliverOwn(state, now, actions);
}

void returnToken(QuotaState& state, const QuotaDecision& decision, TimePoint now)
{
    if (now >= decision.expiresAt_)
        return;
    auto& tokens = state.caches_[decision.account_].tokens_;
    const auto place = std::find_if(
        tokens.begin(), tokens.end(), [&](const auto& held) { return decision.expiresAt_ <= held.expiresAt_; });
    if (place != tokens.end() && place->expiresAt_ == decision.expiresAt_)
        ++place->count_;
    else
        tokens.insert(place, { 1, decision.expiresAt_ });
}

void cancelToken(QuotaState& state, const AccountId& account, std::uint64_t operation)
{
    const auto cache = state.caches_.find(account);
    if (cache == state.caches_.end())
        return;
    std::erase_if(cache->second.waiting_, [&](const auto& waiting) { return waiting.number_ == operation; });
}

void receiveQuota(
    QuotaState& state, const InstanceId& from, const QuotaMessage& message, TimePoint now, QuotaActions& actions)
{
    noteTime(state, now);
    std::visit([&](const auto& body) { handle(state, from, body, now, actions); }, message);
    deliverOwn(state, now, actions);
}

void loseInstance(
    QuotaState& state, const InstanceId& instance, TimePoint avoidUntil, TimePoint now, QuotaActions& actions)
{
    noteTime(state, now);
    auto& avoided = state.avoided_[instance];
    avoided.until_ = std::max(avoided.until_, avoidUntil);
    abandonRequests(state, instance, now, actions);
    deliverOwn(state, now, actions);
}

void leaveInstance(QuotaState& state, const InstanceId& instance, TimePoint now, QuotaActions& actions)
{
    noteTime(state, now);
    // The announcement may have arrived during a suspend, and the instance have started again since.
    if (state.isStale_)
        return;
    const bool isNew = !state.left_.contains(instance);
    state.left_[instance] = now + leavingTime;
    if (!isNew)
        return;
    state.neighboursSince_ = now;
    updateOwnership(state, now);
    abandonRequests(state, instance, now, actions);
    deliverOwn(state, now, actions);
}

void giveUpLedgers(QuotaState& state, TimePoint now, QuotaActions& actions)
{
    noteTime(state, now);
    state.isStopping_ = true;
    state.left_[state.view_.self_] = TimePoint::max();
    state.orders_.clear();
    for (auto& [account, ledger] : state.ledgers_) {
        refill(state, ledger, state.limits_.at(account), now);
        for (const auto& item : ledger.waiting_)
            send(state, item.instance_, QuotaGrant { account, item.request_.number_, 0, {}, true }, actions);
        const auto& order = quotaOwners(state, account, state.view_.dataCentre_);
        if (!ledger.isOwner_ || order.empty())
            continue;
        const auto tokens = wholeTokens(spendable(state, ledger, state.limits_.at(account)));
        send(state, order.front(), QuotaHandover { account, tokens }, actions);
    }
    state.ledgers_.clear();
    deliverOwn(state, now, actions);
}

void wakeQuotas(QuotaState& state, TimePoint now, QuotaActions& actions)
{
    noteTime(state, now);
    const auto leftBefore = state.left_.size();
    std::erase_if(state.left_, [&](const auto& item) { return item.second <= now; });
    if (state.left_.size() != leftBefore) {
        state.neighboursSince_ = now;
        updateOwnership(state, now);
    }
    const auto accounts = state.busy_;
    for (const auto& account : accounts) {
        if (const auto cache = state.caches_.find(account); cache != state.caches_.end())
            wakeCache(state, account, cache->second, now, actions);
        deliverOwn(state, now, actions);
        if (const auto ledger = state.ledgers_.find(account); ledger != state.ledgers_.end())
            wakeLedger(state, account, ledger->second, now, actions);
        deliverOwn(state, now, actions);
        if (!isBusy(state, account))
            state.busy_.erase(account);
    }
    sweep(state, now);
}

std::optional<TimePoint> nextQuotaWakeup(const QuotaState& state)
{
    std::optional<TimePoint> earliest;
    const auto add = [&](TimePoint time) {
        if (!earliest || time < *earliest)
            earliest = time;
    };
    for (const auto& account : state.busy_) {
        if (const auto found = state.caches_.find(account); found != state.caches_.end()) {
            const auto& cache = found->second;
            if (cache.asked_)
                add(cache.asked_->askedAt_ + tokenWait);
            for (const auto& operation : cache.waiting_)
                add(operation.deadline_);
        }
        if (const auto found = state.ledgers_.find(account); found != state.ledgers_.end()) {
            const auto& ledger = found->second;
            if (ledger.loan_)
                add(ledger.loan_->askedAt_ + loanReplyTime);
            if (ledger.waiting_.empty())
                continue;
            add(ledger.waiting_.front().arrived_ + holdTime);
            const auto& limit = state.limits_.at(account);
            add(ledger.updatedAt_ + std::max<Duration>(timeToToken(state, ledger, limit, 0), 1ms));
        }
    }
    return earliest;
}

} // namespace cassiahollow
