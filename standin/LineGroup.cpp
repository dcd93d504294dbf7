#include "LineGroup.h"

#include <algorithm>

namespace cassiahollow::standin {

LineGroup::LineGroup(std::string name, std::vector<EndpointId> endpoints)
    : name_(std::move(name))
    , primary_(endpoints.at(0))
{
    for (const auto& endpoint : endpoints)
        lags_[endpoint] = std::chrono::milliseconds(0);
}

std::vector<EndpointId> LineGroup::endpoints() const
{
    const std::lock_guard lock(mutex_);
    std::vector<EndpointId> endpoints;
    for (const auto& [endpoint, lag] : lags_)
        endpoints.push_back(endpoint);
    return endpoints;
}

bool LineGroup::isPrimary(const EndpointId& endpoint) const
{
    const std::lock_guard lock(mutex_);
    return primary_ == endpoint || branches_.contains(endpoint);
}

bool LineGroup::leadsNewestTerm(const EndpointId& endpoint) const
{
    const std::lock_guard lock(mutex_);
    return primary_ == endpoint;
}

Term LineGroup::term() const
{
    const std::lock_guard lock(mutex_);
    return term_;
}

const std::vector<LineGroup::Commit>& LineGroup::logOf(const EndpointId& endpoint) const
{
    const auto branch = branches_.find(endpoint);
    return branch == branches_.end() ? log_ : branch->second.log_;
}

std::size_t LineGroup::visible(const EndpointId& endpoint) const
{
    if (branches_.contains(endpoint))
        return logOf(endpoint).size();
    if (primary_ == endpoint)
        return log_.size();
    const auto limit = Clock::now() - lags_.at(endpoint);
    const auto end = std::find_if(log_.begin(), log_.end(), [&](const Commit& commit) { return commit.time_ > limit; });
    return static_cast<std::size_t>(end - log_.begin());
}

LogPosition LineGroup::position(const EndpointId& endpoint) const
{
    const std::lock_guard lock(mutex_);
    const auto count = visible(endpoint);
    return count == 0 ? LogPosition { 1, 0 } : logOf(endpoint)[count - 1].position_;
}

std::optional<std::string> LineGroup::read(const EndpointId& endpoint, const std::string& item) const
{
    const std::lock_guard lock(mutex_);
    std::optional<std::string> value;
    const auto& log = logOf(endpoint);
    for (std::size_t i = 0, count = visible(endpoint); i < count; ++i) {
        if (const auto found = log[i].items_.find(item); found != log[i].items_.end())
            value = found->second;
    }
    return value;
}

std::optional<LogPosition> LineGroup::commit(
    const EndpointId& endpoint, std::map<std::string, std::string> items, std::string query)
{
    const std::lock_guard lock(mutex_);
    if (const auto branch = branches_.find(endpoint); branch != branches_.end()) {
        auto& [term, nextIndex, shared, log] = branch->second;
        log.push_back({ { term, nextIndex++ }, Clock::now(), std::move(items), std::move(query) });
        return log.back().position_;
    }
    if (primary_ != endpoint)
        return std::nullopt;
    log_.push_back({ { term_, nextIndex_++ }, Clock::now(), std::move(items), std::move(query) });
    return log_.back().position_;
}

void LineGroup::setLag(const EndpointId& endpoint, std::chrono::milliseconds lag)
{
    const std::lock_guard lock(mutex_);
    lags_.at(endpoint) = lag;
}

void LineGroup::promote(const EndpointId& endpoint)
{
    const std::lock_guard lock(mutex_);
    if (primary_ && primary_ != endpoint && isolated_.contains(*primary_))
        branches_[*primary_] = { term_, nextIndex_, log_.size(), log_ };
    log_.resize(visible(endpoint));
    branches_.erase(endpoint);
    primary_ = endpoint;
    ++term_;
    nextIndex_ = log_.empty() ? 1 : log_.back().position_.index_ + 1;
}

void LineGroup::clear()
{
    const std::lock_guard lock(mutex_);
    log_.clear();
    branches_.clear();
    term_ = 1;
    nextIndex_ = 1;
}

void LineGroup::stepDown(const EndpointId& endpoint, Term term)
{
    const std::lock_guard lock(mutex_);
    if (const auto branch = branches_.find(endpoint); branch != branches_.end() && term > branch->second.term_)
        branches_.erase(branch);
    if (primary_ == endpoint && term > term_)
        primary_.reset();
}

void LineGroup::isolate(const EndpointId& endpoint)
{
    const std::lock_guard lock(mutex_);
    isolated_.insert(endpoint);
}

std::vector<LineGroup::Commit> LineGroup::commitsAfterPromotion(const EndpointId& endpoint) const
{
    const std::lock_guard lock(mutex_);
    const auto branch = branches_.find(endpoint);
    if (branch == branches_.end())
        return {};
    const auto& [term, nextIndex, shared, log] = branch->second;
    return { log.begin() + static_cast<std::ptrdiff_t>(shared), log.end() };
}

std::vector<LineGroup::Commit> LineGroup::commits() const
{
    const std::lock_guard lock(mutex_);
    return log_;
}

} // namespace cassiahollow::standin
