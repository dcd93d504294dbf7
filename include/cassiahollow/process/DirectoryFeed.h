#pragma once

#include "cassiahollow/process/EndpointRegistry.h"
#include "cassiahollow/version/ControlState.h"
#include "cassiahollow/version/PrimaryLease.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiahollow {

/// Health of an endpoint as observed by an instance that uses it.
struct EndpointObservation {
    EndpointId endpoint_;
    Duration lastResponseAge_ { Duration::max() }; ///< Since its last response; the maximum if there was none.
    Duration failureAge_ { 0 }; ///< Since the first failure after the last response; 0 if there was none.
    /// It recently rejected reads that replicas would have served if they had not lagged behind.
    bool strained_ { false };
};

/// Sent by an entry instance to a control member: requests changes of the directory and reports observations.
struct FeedRequest {
    std::uint64_t number_ { 0 }; ///< Repeated in the response, so that the requester can date it by its own clock.
    std::uint64_t catalogVersion_ { 0 }; ///< Version of the catalog that the instance applies.
    std::string registryVersion_; ///< Registry version of the last response with records, or empty.
    bool takesRequests_ { true }; ///< False if the instance is shutting down.
    bool missesResponses_ { false }; ///< Earlier responses were lost; the connection to the requester may be dead.
    std::vector<EndpointObservation> reports_;
    LeaseVersion leaseVersion_; ///< The instance has replaced all leases older than this version.
    DataCentre dataCentre_; ///< Of the instance.
    std::uint64_t neighboursMark_ { 0 }; ///< neighboursMark_ of the last response with neighbours, or 0.
    /// othersMark_ of the last response with other data centres, or 0; nothing if the instance does not need them.
    std::optional<std::uint64_t> othersMark_;
};

/// The entry instances of one data centre that take requests.
struct DataCentreInstances {
    DataCentre dataCentre_;
    std::vector<InstanceId> instances_;

    bool operator==(const DataCentreInstances&) const = default;
};

/// A log position of a group's primary and the time since it was requested. Only the instance that requested the
/// enclosing response can date the sample: its age is at most the time since that request plus `age_`.
struct GroupSample {
    GroupId group_;
    LogPosition position_;
    Duration age_ { 0 };
};

/// A compressed catalog for transfer: documents are repetitive, and the links of small instances are slow.
struct PackedCatalog {
    std::uint64_t version_ { 0 };
    std::string bytes_;
};

/// Compresses a catalog. Slow for large catalogs, so call it once for each version.
PackedCatalog packCatalog(const CatalogDocument&);
/// Decompresses a catalog. Fails with MessageMalformed if the bytes are damaged or the document exceeds 1 MiB.
boost::leaf::result<CatalogDocument> unpackCatalog(const PackedCatalog&);

/// The response of a control member to a FeedRequest.
struct FeedResponse {
    std::uint64_t number_ { 0 }; ///< Number of the request; 0 if there was no request.
    bool confirmed_ { false }; ///< The member had contact with a majority of control members just before.
    Duration contactAge_ { 0 }; ///< Since the contact with the majority.
    std::uint64_t catalogVersion_ { 0 };
    std::shared_ptr<const PackedCatalog> catalog_; ///< Null if the requester has this version.
    std::string registryVersion_; ///< Identifies the sending process and the revision of the records.
    std::optional<std::vector<RegisteredEndpoint>> records_; ///< All records; absent if the requester has this version.
    InstanceId leader_; ///< Empty if no leader is known.
    std::vector<InstanceId> members_; ///< The control members.
    std::size_t instances_ { 0 }; ///< Number of entry instances with a recent request.
    std::size_t rank_ { 0 }; ///< Position of the requester among these instances.
    std::vector<GroupSample> samples_; ///< Positions of groups whose connections are scarce.
    std::optional<LeaseGrant> leases_; ///< Set if the deployment needs leases on primaries.
    std::uint64_t neighboursMark_ { 0 }; ///< Identifies the neighbours; 0 if none are known.
    /// All entry instances of the requester's data centre that take requests; absent if the requester knows them.
    std::optional<std::vector<InstanceId>> neighbours_;
    std::size_t dataCentres_ { 0 }; ///< Data centres with entry instances.
    std::uint64_t othersMark_ { 0 }; ///< Identifies the instances of the other data centres.
    /// The entry instances of the other data centres; absent if the requester knows them or does not need them.
    std::optional<std::vector<DataCentreInstances>> others_;
};

/// Sent between control members: endpoint records; also serves as a heartbeat.
struct RegistryUpdate {
    std::vector<RegisteredEndpoint> records_;
    bool requestsAll_ { false }; ///< The sender has just started and requests all records.
    bool recipientSilent_ { false }; ///< The sender receives nothing from the recipient, whose connection may be dead.
    std::vector<InstanceId> instances_; ///< Entry instances with a recent request to the sender.
    std::vector<DataCentre> dataCentres_; ///< Of these instances, in the same order; empty from earlier versions.
};

/// Forwards the reports of an instance to the leader.
struct ReportRelay {
    InstanceId instance_;
    std::vector<EndpointObservation> reports_;
};

/// Sent by a control member to the leader: requests the leases that it passes on.
struct LeaseRequest {
    std::uint64_t number_ { 0 }; ///< Repeated in the response, so that the requester can date it by its own clock.
    LeaseVersion known_; ///< Version of the table that the member has.
    LeaseVersion confirmed_; ///< No instance can use an older table that the member has passed on.
};

struct LeaseResponse {
    std::uint64_t number_ { 0 }; ///< Number of the request; 0 if there was no request.
    LeaseGrant grant_;
};

using DirectoryMessage
    = std::variant<FeedRequest, FeedResponse, RegistryUpdate, ReportRelay, LeaseRequest, LeaseResponse>;

/// Encodes a message. Time points are sent as ages relative to `now`, so that clocks of two machines are never
/// compared.
std::string encodeDirectoryMessage(const DirectoryMessage&, TimePoint now);

/// Decodes a message; ages are subtracted from `now`. Fails with MessageMalformed.
boost::leaf::result<DirectoryMessage> decodeDirectoryMessage(std::string_view, TimePoint now);

} // namespace cassiahollow
