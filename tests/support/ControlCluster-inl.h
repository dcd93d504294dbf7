#pragma once

#include "FileSizeLimit.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace cassiahollow::fake {

namespace detail {

    // The interval at which a control task is started again after its storage failed, as in the daemon.
    inline constexpr Duration storageRetry = std::chrono::milliseconds(500);
    // The time for which a stopping member waits for its removal, as in the daemon.
    inline constexpr Duration departureTime = std::chrono::seconds(1);
    inline constexpr Duration tickInterval = std::chrono::milliseconds(50);
    // A loss of power during the next write happens within this time, or not at all.
    inline constexpr Duration writeWait = std::chrono::seconds(1);
    inline constexpr Duration clientInterval = std::chrono::milliseconds(20);
    // A client asks the next instance after this time without an answer.
    inline constexpr Duration clientPatience = std::chrono::milliseconds(800);
    // The delay of the list from which the seeds of a starting instance are taken.
    inline constexpr Duration seedLag = std::chrono::seconds(3);
    inline constexpr std::size_t seedCount = 3;

    inline std::string documentOf(std::uint64_t version)
    {
        return "document " + std::to_string(version);
    }

} // namespace detail

inline ControlCluster::ControlCluster(Options options)
    : options_(std::move(options))
    , random_(options_.seed_)
{
    now_ = TimePoint() + std::chrono::seconds(1);
    std::vector<InstanceId> first;
    for (std::size_t i = 0; i < options_.size_; ++i)
        first.emplace_back("m" + std::to_string(++added_));
    lists_.emplace_back(TimePoint(), first);
    auto seeds = first;
    seeds.resize(std::min(seeds.size(), detail::seedCount));
    for (const auto& instance : first) {
        machines_[instance].mayFound_ = true;
        machines_[instance].seeds_ = seeds;
        start(instance.value_);
    }
}

inline void ControlCluster::push(TimePoint time, std::function<void()> action)
{
    queue_.push({ std::max(time, now_), ++pushed_, std::move(action) });
}

inline void ControlCluster::runFor(Duration time)
{
    runUntil([] { return false; }, time);
}

inline bool ControlCluster::runUntil(const std::function<bool()>& holds, Duration limit)
{
    const auto end = now_ + limit;
    while (!holds()) {
        if (queue_.empty() || queue_.top().time_ > end) {
            now_ = end;
            return false;
        }
        const auto event = queue_.top();
        queue_.pop();
        now_ = std::max(now_, event.time_);
        event.action_();
    }
    return true;
}

inline void ControlCluster::note(const std::string& text)
{
    if (options_.records_)
        history_.push_back(
            std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count()) + " "
            + text);
}

inline std::vector<std::string> ControlCluster::names() const
{
    std::vector<std::string> all;
    for (const auto& [instance, machine] : machines_) {
        if (!machine.isGone_)
            all.push_back(instance.value_);
    }
    return all;
}

inline std::string ControlCluster::leader() const
{
    std::string found;
    Term term = 0;
    for (const auto& [instance, machine] : machines_) {
        if (machine.log_ && machine.log_->role_ == ControlRole::Leader
            && machine.log_->stored_.promise_.term_ >= term) {
            found = instance.value_;
            term = machine.log_->stored_.promise_.term_;
        }
    }
    return found;
}

inline const ControlLogState* ControlCluster::log(const std::string& name) const
{
    const auto& machine = machines_.at(InstanceId(name));
    return machine.log_ ? &*machine.log_ : nullptr;
}

inline std::vector<InstanceId> ControlCluster::currentSeeds()
{
    auto list = lists_.front().second;
    for (const auto& [time, later] : lists_) {
        if (time + detail::seedLag <= now_)
            list = later;
    }
    if (random_() % 2 == 0)
        std::shuffle(list.begin(), list.end(), random_);
    list.resize(std::min(list.size(), detail::seedCount));
    return list;
}

inline void ControlCluster::stop(Machine& machine)
{
    machine.log_.reset();
    machine.storage_.reset();
    machine.isStopping_ = false;
    machine.hasDeparted_ = false;
    machine.downAtWrite_.reset();
    ++machine.starts_;
}

inline void ControlCluster::losePower(const std::string& name, Duration down)
{
    auto& one = machine(name);
    if (one.isGone_)
        return;
    note("power lost: " + name);
    stop(one);
    one.downUntil_ = std::max(one.downUntil_, now_ + down);
    push(one.downUntil_, [this, name] {
        auto& restarted = machine(name);
        if (restarted.isGone_ || restarted.log_ || restarted.downUntil_ > now_)
            return;
        restarted.seeds_ = currentSeeds();
        start(name);
    });
}

inline void ControlCluster::losePowerAtWrite(const std::string& name, Duration down)
{
    note("power lost at the next write: " + name);
    auto& one = machine(name);
    one.downAtWrite_ = down;
    push(now_ + detail::writeWait, [this, name] { machine(name).downAtWrite_.reset(); });
}

inline void ControlCluster::loseDisk(const std::string& name, Duration down)
{
    auto& one = machine(name);
    losePower(name, down);
    note("disk lost: " + name);
    one.stored_ = {};
    one.identity_.clear();
    one.mayFound_ = false;
    if (!options_.folder_.empty())
        std::filesystem::remove_all(options_.folder_ / name);
}

inline void ControlCluster::removeForever(const std::string& name)
{
    note("removed: " + name);
    auto& one = machine(name);
    stop(one);
    one.isGone_ = true;
    auto list = lists_.back().second;
    std::erase(list, InstanceId(name));
    lists_.emplace_back(now_, std::move(list));
}

inline void ControlCluster::terminate(const std::string& name, std::optional<Duration> down)
{
    auto& one = machine(name);
    if (!one.log_)
        return;
    note("terminated: " + name);
    one.isStopping_ = true;
    depart(name, down, now_ + detail::departureTime);
}

inline void ControlCluster::depart(const std::string& name, std::optional<Duration> down, TimePoint end)
{
    auto& one = machine(name);
    if (!one.isStopping_)
        return;
    if (one.hasDeparted_ || now_ >= end) {
        if (down)
            losePower(name, *down);
        else
            removeForever(name);
        return;
    }
    if (one.log_)
        ask(name, ControlMemberChange { false, InstanceId(name), true }, { .name_ = name, .isDeparture_ = true });
    push(now_ + detail::tickInterval, [this, name, down, end] { depart(name, down, end); });
}

inline void ControlCluster::cut(const std::string& name, bool in, bool out, Duration time)
{
    note("cut: " + name + (in ? " in" : "") + (out ? " out" : ""));
    auto& one = machine(name);
    if (in)
        one.cutInUntil_ = now_ + time;
    if (out)
        one.cutOutUntil_ = now_ + time;
}

inline void ControlCluster::split(const std::set<std::string>& side, Duration time)
{
    std::string text = "split:";
    side_.clear();
    for (const auto& name : side) {
        side_.emplace(name);
        text += " " + name;
    }
    note(text);
    splitUntil_ = now_ + time;
}

inline void ControlCluster::freeze(const std::string& name, Duration time)
{
    note("frozen: " + name);
    machine(name).frozenUntil_ = now_ + time;
}

inline void ControlCluster::fillDisk(const std::string& name, Duration time)
{
    note("disk full: " + name);
    auto& one = machine(name);
    one.fullUntil_ = now_ + time;
    // Half of the disks refuse every write. The others take small files and cut off large ones.
    one.maximumFileSize_ = random_() % 2 == 0 ? 0 : random_() % 8192;
}

inline std::string ControlCluster::add()
{
    const auto name = "m" + std::to_string(++added_);
    note("added: " + name);
    auto list = lists_.back().second;
    list.emplace_back(name);
    lists_.emplace_back(now_, std::move(list));
    machines_[InstanceId(name)].seeds_ = currentSeeds();
    start(name);
    return name;
}

inline void ControlCluster::reload(const std::string& name)
{
    auto& one = machine(name);
    one.seeds_ = currentSeeds();
    note("reloaded: " + name);
    deliver(InstanceId(name), ControlSeeds { one.seeds_ }, one.starts_);
}

inline bool ControlCluster::openFiles(const std::string& name, Machine& one)
{
    std::optional<FileSizeLimit> limit;
    if (one.fullUntil_ > now_)
        limit.emplace(one.maximumFileSize_);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(
                one.storage_, openControlStorage(options_.folder_ / name, name + "-" + std::to_string(++identities_)));
            one.identity_ = one.storage_->identity_;
            one.stored_ = std::exchange(one.storage_->stored_, {});
            return true;
        },
        [&](const Failure& failure) {
            note("storage of " + name + " fails to open: " + failure.detail_);
            return false;
        },
        [] { return false; });
}

inline void ControlCluster::start(const std::string& name)
{
    auto& one = machine(name);
    if (one.log_ || one.isGone_)
        return;
    if (!options_.folder_.empty()) {
        if (!openFiles(name, one)) {
            push(now_ + detail::storageRetry, [this, name, start = one.starts_] {
                if (machine(name).starts_ == start)
                    this->start(name);
            });
            return;
        }
    } else if (one.identity_.empty()) {
        one.identity_ = name + "-" + std::to_string(++identities_);
    }
    auto options = options_.log_;
    options.mayFound_ = one.mayFound_;
    one.log_ = startControlLog(InstanceId(name), one.identity_, one.seeds_, {}, one.stored_, options, random_(), now_);
    tick(InstanceId(name), ++one.starts_);
}

inline void ControlCluster::tick(const InstanceId& instance, std::uint64_t start)
{
    if (machines_[instance].starts_ != start)
        return;
    deliver(instance, ControlTick {}, start);
    push(now_ + detail::tickInterval, [this, instance, start] { tick(instance, start); });
}

inline void ControlCluster::deliver(const InstanceId& instance, const ControlEvent& event, std::uint64_t start)
{
    auto& one = machines_[instance];
    const bool isMessage = std::holds_alternative<ControlMessage>(event);
    if (!one.log_ || (!isMessage && one.starts_ != start))
        return;
    if (one.frozenUntil_ > now_) {
        if (!std::holds_alternative<ControlTick>(event))
            push(one.frozenUntil_, [this, instance, event, start] { deliver(instance, event, start); });
        return;
    }
    const auto leaderBefore = one.log_->leader_;
    const auto configurationBefore = one.log_->configuration_;
    const auto actions = step(*one.log_, event, now_);
    if (options_.records_ && one.log_->configuration_ != configurationBefore && one.log_->configuration_) {
        std::string members;
        for (const auto& member : one.log_->configuration_->members_)
            members += " " + member.identity_ + (member.voter_ ? "" : "?");
        note(instance.value_ + " has members" + members);
    }
    const auto current = one.starts_;
    for (const auto& action : actions) {
        if (one.starts_ != current)
            return;
        if (const auto* durable = std::get_if<PersistAction>(&action)) {
            if (!persist(instance, one, *durable))
                return;
        } else if (const auto* send = std::get_if<SendAction>(&action)) {
            transmit(instance, *send);
        } else if (const auto* catalog = std::get_if<ApplyCatalogAction>(&action)) {
            observe(instance.value_, *catalog->catalog_);
        } else if (const auto* report = std::get_if<CatalogCommittedAction>(&action)) {
            const auto synced = voterCount(report->synced_);
            ++syncedVoters_[{ synced + voterCount(report->unsynced_), synced }];
        } else if (const auto* answer = std::get_if<ResponseAction>(&action)) {
            observe(*answer);
        }
    }
    if (options_.records_ && one.log_ && one.log_->leader_ != leaderBefore)
        note(instance.value_ + " follows " + (one.log_->leader_ ? one.log_->leader_->instance_.value_ : "nobody")
            + " in term " + std::to_string(one.log_->stored_.promise_.term_));
}

inline bool ControlCluster::persist(const InstanceId& instance, Machine& one, const PersistAction& action)
{
    if (one.downAtWrite_ && random_() % 2 == 0) {
        losePower(instance.value_, *one.downAtWrite_);
        return false;
    }
    bool isWritten = one.fullUntil_ <= now_;
    if (one.storage_) {
        std::optional<FileSizeLimit> limit;
        if (!isWritten)
            limit.emplace(one.maximumFileSize_);
        isWritten = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_CHECK(persistControl(*one.storage_, action, one.log_->stored_));
                return true;
            },
            [] { return false; });
    } else if (isWritten) {
        applyPersist(one.stored_, action);
    }
    if (one.downAtWrite_) {
        losePower(instance.value_, *one.downAtWrite_);
        return false;
    }
    if (isWritten)
        return true;
    note("storage of " + instance.value_ + " fails");
    stop(one);
    push(now_ + detail::storageRetry, [this, instance, start = one.starts_] {
        if (machines_[instance].starts_ == start)
            this->start(instance.value_);
    });
    return false;
}

inline TimePoint ControlCluster::cutUntil(const InstanceId& sender, const InstanceId& recipient) const
{
    TimePoint end = std::max(machines_.at(sender).cutOutUntil_, machines_.at(recipient).cutInUntil_);
    if (side_.contains(sender) != side_.contains(recipient))
        end = std::max(end, splitUntil_);
    return end > now_ ? end : TimePoint();
}

inline void ControlCluster::transmit(const InstanceId& sender, const SendAction& send)
{
    const auto recipient = machines_.find(send.recipient_);
    if (recipient == machines_.end())
        return;
    std::uniform_int_distribution<int> latency(500, 2000);
    push(now_ + std::chrono::microseconds(latency(random_)),
        [this, sender, send, start = machines_.at(sender).starts_] { arrive(sender, send, start); });
}

inline void ControlCluster::arrive(const InstanceId& sender, const SendAction& send, std::uint64_t start)
{
    const auto end = cutUntil(sender, send.recipient_);
    if (end == TimePoint())
        return deliver(send.recipient_, send.message_, 0);
    // The unsent bytes of a connection are lost with the process of the sender.
    if (!options_.delaysCutMessages_)
        return;
    push(end, [this, sender, send, start] {
        if (machines_.at(sender).starts_ == start)
            arrive(sender, send, start);
    });
}

inline std::uint64_t ControlCluster::ask(const std::string& name, ControlRequest request, Call call)
{
    const auto token = ++nextToken_;
    calls_[token] = std::move(call);
    const InstanceId instance(name);
    deliver(instance, LocalRequest { token, std::move(request) }, machines_[instance].starts_);
    return token;
}

inline void ControlCluster::observe(const ResponseAction& answer)
{
    const auto found = calls_.find(answer.token_);
    if (found == calls_.end()) {
        violations_.push_back("request " + std::to_string(answer.token_) + " answered twice");
        return;
    }
    const auto call = found->second;
    calls_.erase(found);
    if (call.isDeparture_) {
        machine(call.name_).hasDeparted_
            |= answer.outcome_.outcome_ == Outcome::Done || answer.outcome_.reason_ == Reason::NoControlMajority;
        return;
    }
    if (answer.outcome_.outcome_ != Outcome::Done)
        return;
    if (call.isRead_) {
        const auto version = answer.outcome_.catalogVersion_;
        if (version < call.version_)
            violations_.push_back(call.name_ + ": read " + std::to_string(version) + " after "
                + std::to_string(call.version_) + " was acknowledged");
        if (call.isReadBack_)
            readBack_ = version;
        return;
    }
    acknowledged_ = std::max(acknowledged_, call.version_);
    if (call.version_ != version_ || !isChanging_)
        return;
    isChanging_ = false;
    ++acknowledgements_;
    if (const auto action = std::exchange(acknowledgedAction_, nullptr))
        push(now_, action);
}

inline void ControlCluster::observe(const std::string& name, const CatalogDocument& catalog)
{
    const auto [known, isNew] = documents_.emplace(catalog.version_, catalog.document_);
    if (!isNew && known->second != catalog.document_)
        violations_.push_back(name + ": another document for version " + std::to_string(catalog.version_));
}

inline std::string ControlCluster::anyRunning()
{
    std::vector<std::string> running;
    for (const auto& [instance, one] : machines_) {
        if (one.log_)
            running.push_back(instance.value_);
    }
    return running.empty() ? std::string() : running[random_() % running.size()];
}

inline void ControlCluster::startClient()
{
    isClientRunning_ = true;
    pollClient();
}

inline void ControlCluster::pollClient()
{
    if (!isClientRunning_)
        return;
    push(now_ + detail::clientInterval, [this] { pollClient(); });
    const auto name = anyRunning();
    if (name.empty())
        return;
    if (random_() % 4 == 0)
        ask(name, ControlRead {}, { .name_ = name, .isRead_ = true, .version_ = acknowledged_ });
    if (isChanging_ && now_ - changeSentAt_ < detail::clientPatience)
        return;
    if (!isChanging_) {
        // Changes come one after the other with pauses, so that most entries are alone in their message.
        if (now_ - changeStartedAt_ < std::chrono::milliseconds(50 + random_() % 200))
            return;
        ++version_;
        isChanging_ = true;
        changeStartedAt_ = now_;
        if (const auto action = std::exchange(changeSentAction_, nullptr))
            push(now_, action);
    }
    changeSentAt_ = now_;
    ask(name,
        ControlChange {
            "change-" + std::to_string(version_), CatalogChange { { version_, detail::documentOf(version_) } } },
        { .name_ = name, .version_ = version_ });
}

inline std::optional<std::uint64_t> ControlCluster::readBack(Duration limit)
{
    readBack_.reset();
    const auto end = now_ + limit;
    while (!readBack_ && now_ < end) {
        for (const auto& name : names()) {
            if (machine(name).log_)
                ask(name, ControlRead {},
                    { .name_ = name, .isRead_ = true, .version_ = acknowledged_, .isReadBack_ = true });
        }
        runUntil(
            [this] { return readBack_.has_value(); }, std::min<Duration>(std::chrono::milliseconds(100), end - now_));
    }
    return readBack_;
}

} // namespace cassiahollow::fake
