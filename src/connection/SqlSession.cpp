#include "cassiahollow/connection/SqlSession.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <xxhash.h>

namespace cassiahollow {

namespace {

    constexpr std::size_t maximumReadableShapeLength = 32;

    bool hasForeignValue(const ConnectionSessionState& connection, const SqlSession& session)
    {
        return std::any_of(connection.values_.begin(), connection.values_.end(),
            [&](const auto& value) { return !session.values_.contains(value.first); });
    }

} // namespace

bool guaranteesNoEffect(StatementError error)
{
    switch (error) {
    case StatementError::Overloaded:
    case StatementError::Aborted:
    case StatementError::ReplicaBehind:
    case StatementError::NotPrimary:
    case StatementError::WrongEndpoint:
    case StatementError::ConnectionLimit:
    case StatementError::UnknownKey:
        return true;
    default:
        return false;
    }
}

std::string sharedStatementName(const PreparedShape& shape)
{
    const std::string prefix = shape.writes_ ? "w" : "r";
    const bool isReadable = shape.shape_.size() <= maximumReadableShapeLength
        && std::all_of(shape.shape_.begin(), shape.shape_.end(), [](unsigned char c) { return std::isalnum(c) != 0; });
    if (isReadable)
        return prefix + shape.shape_;
    char digest[17];
    std::snprintf(digest, sizeof(digest), "%016llx",
        static_cast<unsigned long long>(XXH3_64bits(shape.shape_.data(), shape.shape_.size())));
    return prefix + "_" + digest;
}

std::vector<SessionSyncStep> syncConnection(
    ConnectionSessionState& connection, const SqlSession& session, const std::optional<PreparedShape>& needed)
{
    std::vector<SessionSyncStep> steps;
    if (hasForeignValue(connection, session)) {
        steps.push_back({ SessionSyncStep::Kind::Discard, {}, {} });
        connection = {};
    }
    for (const auto& [name, value] : session.values_) {
        const auto current = connection.values_.find(name);
        if (current != connection.values_.end() && current->second == value)
            continue;
        steps.push_back({ SessionSyncStep::Kind::Set, name, value });
        connection.values_[name] = value;
    }
    if (needed && connection.prepared_.insert(*needed).second)
        steps.push_back(
            { SessionSyncStep::Kind::Prepare, sharedStatementName(*needed), needed->shape_, needed->writes_ });
    return steps;
}

std::size_t syncCost(
    const ConnectionSessionState& connection, const SqlSession& session, const std::optional<PreparedShape>& needed)
{
    const bool discards = hasForeignValue(connection, session);
    const auto missing = static_cast<std::size_t>(
        std::count_if(session.values_.begin(), session.values_.end(), [&](const auto& value) {
            const auto current = connection.values_.find(value.first);
            return discards || current == connection.values_.end() || current->second != value.second;
        }));
    const bool prepares = needed && (discards || !connection.prepared_.contains(*needed));
    return missing + (discards ? 1 : 0) + (prepares ? 1 : 0);
}

bool setValue(SqlSession& session, const std::string& name, const std::string& value)
{
    if (!session.values_.contains(name) && session.values_.size() >= maximumSessionNames)
        return false;
    session.values_[name] = value;
    return true;
}

bool prepare(SqlSession& session, const std::string& name, PreparedShape shape)
{
    if (!session.prepared_.contains(name) && session.prepared_.size() >= maximumSessionNames)
        return false;
    session.prepared_[name] = std::move(shape);
    return true;
}

std::optional<PreparedShape> preparedShape(const SqlSession& session, const std::string& name)
{
    const auto found = session.prepared_.find(name);
    return found == session.prepared_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cassiahollow
