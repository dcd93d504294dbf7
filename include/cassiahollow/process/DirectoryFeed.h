#pragma once

#include "cassiahollow/process/EndpointRegistry.h"
#include "cassiahollow/version/ControlState.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow {

/// What an instance has seen of an endpoint that it uses.
struct EndpointObservation {
    EndpointId endpoint_;
    Duration lastResponseAge_ { Duration::max() }; ///< Since its last answer; the maximum when there was none.
    Duration failingFor_ { 0 }; ///< Since the first failure after the last answer; 0 when there was none.
    bool overloaded_ {
        false
    }; ///< It lately turned reads away that replicas would have served had they not been behind.
};

/// An entry instance asks a control member for what has changed, and says what it has seen.
struct FeedRequest {
    std::uint64_t number_ { 0 }; ///< Repeated in the answer, which dates the answer by the asker's own clock.
    std::uint64_t catalogVersion_ { 0 }; ///< The catalog that the instance applies.
    std::string registryVersion_; ///< The mark of the last answer with records, or empty.
    bool takesRequests_ { true }; ///< False on an instance that shuts down.
    bool missesResponses_ { false }; ///< Earlier answers were lost; the connection back may have gone silent.
    std::vector<EndpointObservation> reports_;
};

/// A position of a group's primary and how long ago it was asked for. Only the one who asked for the answer that
/// carries it can date it: its age there is at most that since the question, and this one.
struct GroupSample {
    GroupId group_;
    LogPosition position_;
    Duration age_ { 0 };
};

/// A catalog as it travels: documents repeat themselves, and the links of small instances are slow.
struct PackedCatalog {
    std::uint64_t version_ { 0 };
    std::string bytes_;
};

/// Compresses a catalog. Slow for a large one: to be done once for each version.
PackedCatalog packCatalog(const CatalogDocument&);
/// Fails with MessageMalformed, also when the document would be unreasonably large.
boost::leaf::result<CatalogDocument> unpackCatalog(const PackedCatalog&);

struct FeedResponse {
    std::uint64_t number_ { 0 }; ///< 0: not asked for.
    bool confirmed_ { false }; ///< The member was in contact with a majority of control members just before.
    Duration contactAge_ { 0 }; ///< Since that contact.
    std::uint64_t catalogVersion_ { 0 };
    std::shared_ptr<const PackedCatalog> catalog_; ///< Null when the asker has it.
    std::string registryVersion_; ///< Process and revision of the records.
    std::optional<std::vector<RegisteredEndpoint>> records_; ///< All records, unless the asker's mark is this one.
    InstanceId leader_; ///< Empty when none is known.
    std::vector<InstanceId> members_; ///< The control members.
    std::size_t instances_ { 0 }; ///< Entry instances that asked lately.
    std::size_t rank_ { 0 }; ///< The place of the asker among them.
    std::vector<GroupSample> samples_; ///< Of groups whose connections are scarce.
};

/// Between control members: records of endpoints, and a sign of life.
struct RegistryUpdate {
    std::vector<RegisteredEndpoint> records_;
    bool requestsAll_ { false }; ///< The sender has just started and asks for all records.
    bool recipientSilent_ { false }; ///< The sender hears nothing of the recipient, whose connection may be silent.
    std::vector<InstanceId> instances_; ///< Entry instances that asked the sender lately.
};

/// Passes an instance's reports on to the leader.
struct ReportRelay {
    InstanceId instance_;
    std::vector<EndpointObservation> reports_;
};

using DirectoryMessage = std::variant<FeedRequest, FeedResponse, RegistryUpdate, ReportRelay>;

/// Encodes a message. Times are sent as ages, so that clocks are not compared: `now` is the sender's time.
std::string encodeDirectoryMessage(const DirectoryMessage&, TimePoint now);

/// Decodes a message; ages count back from `now`. Fails with MessageMalformed.
boost::leaf::result<DirectoryMessage> decodeDirectoryMessage(std::string_view, TimePoint now);

} // namespace cassiahollow
