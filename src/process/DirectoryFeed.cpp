#include "cassiahollow/process/DirectoryFeed.h"

#include "cassiahollow/process/Reasons.h"
#include "process/NestingLimit.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <zlib.h>

namespace cassiahollow {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

    enum Kind : std::uint8_t {
        KindFeedRequest = 1,
        KindFeedResponse,
        KindRegistryUpdate,
        KindReportRelay,
        KindLeaseRequest,
        KindLeaseResponse,
    };

    // A compressed catalog starts with the size of the document, in little-endian order.
    constexpr std::size_t sizePrefixBytes = 4;
    // Above the largest catalog that the control log accepts.
    constexpr std::size_t maximumDocumentBytes = 1 << 20;
    // Encodes the maximum age, which means "never".
    constexpr std::int64_t noAge = -1;
    // Longer ages make no difference to any decision, and times before the start of a clock cannot be represented.
    constexpr std::int64_t maximumAgeMs = std::chrono::milliseconds(std::chrono::hours(24 * 365)).count();

    std::int64_t toAge(Duration age)
    {
        return age == Duration::max() ? noAge : std::chrono::ceil<std::chrono::milliseconds>(age).count();
    }

    Duration fromAge(const json& in)
    {
        const auto age = in.get<std::int64_t>();
        return age == noAge ? Duration::max()
                            : Duration(std::chrono::milliseconds(std::clamp<std::int64_t>(age, 0, maximumAgeMs)));
    }

    // An array in a fixed order takes half the bytes of a map.
    json toJson(const RegisteredEndpoint& record, TimePoint now)
    {
        return json::array({ record.id_.value_, record.group_.value_, record.address_, record.dataCentre_.value_,
            record.startedAtMs_, record.sequence_, record.slots_, record.role_ == EndpointRole::Primary,
            record.leaving_, record.removed_, toAge(record.warmUpLeft_), toAge(now - record.receivedAt_),
            toAge(now - record.roleSince_), record.confirmed_, record.displaced_ });
    }

    RegisteredEndpoint recordFrom(const json& in, TimePoint now)
    {
        RegisteredEndpoint record;
        record.id_ = EndpointId(in.at(0).get<std::string>());
        record.group_ = GroupId(in.at(1).get<std::string>());
        record.address_ = in.at(2).get<std::string>();
        record.dataCentre_ = DataCentre(in.at(3).get<std::string>());
        record.startedAtMs_ = in.at(4).get<std::uint64_t>();
        record.sequence_ = in.at(5).get<std::uint64_t>();
        record.slots_ = in.at(6).get<std::size_t>();
        record.role_ = in.at(7).get<bool>() ? EndpointRole::Primary : EndpointRole::Replica;
        record.leaving_ = in.at(8).get<bool>();
        record.removed_ = in.at(9).get<bool>();
        record.warmUpLeft_ = fromAge(in.at(10));
        record.receivedAt_ = now - fromAge(in.at(11));
        record.roleSince_ = now - fromAge(in.at(12));
        if (in.size() > 14) { // Records of earlier versions end here.
            record.confirmed_ = in.at(13).get<bool>();
            record.displaced_ = in.at(14).get<bool>();
        }
        return record;
    }

    json toJson(const std::vector<RegisteredEndpoint>& records, TimePoint now)
    {
        auto out = json::array();
        for (const auto& record : records)
            out.push_back(toJson(record, now));
        return out;
    }

    std::vector<RegisteredEndpoint> recordsFrom(const json& in, TimePoint now)
    {
        std::vector<RegisteredEndpoint> records;
        for (const auto& record : in)
            records.push_back(recordFrom(record, now));
        return records;
    }

    json toJson(const std::vector<InstanceId>& instances)
    {
        auto out = json::array();
        for (const auto& instance : instances)
            out.push_back(instance.value_);
        return out;
    }

    std::vector<InstanceId> instancesFrom(const json& in)
    {
        std::vector<InstanceId> instances;
        for (const auto& instance : in)
            instances.emplace_back(instance.get<std::string>());
        return instances;
    }

    json toJson(const std::vector<DataCentreInstances>& dataCentres)
    {
        auto out = json::array();
        for (const auto& item : dataCentres)
            out.push_back(json::array({ item.dataCentre_.value_, toJson(item.instances_) }));
        return out;
    }

    std::vector<DataCentreInstances> dataCentresFrom(const json& in)
    {
        std::vector<DataCentreInstances> dataCentres;
        for (const auto& item : in)
            dataCentres.push_back({ DataCentre(item.at(0).get<std::string>()), instancesFrom(item.at(1)) });
        return dataCentres;
    }

    json toJson(const std::vector<EndpointObservation>& reports)
    {
        auto out = json::array();
        for (const auto& report : reports) {
            out.push_back(json::array({ report.endpoint_.value_, toAge(report.lastResponseAge_),
                toAge(report.failureAge_), report.strained_ }));
        }
        return out;
    }

    std::vector<EndpointObservation> reportsFrom(const json& in)
    {
        std::vector<EndpointObservation> reports;
        for (const auto& report : in) {
            const bool overloaded
                = report.size() > 3 && report.at(3).get<bool>(); // Earlier versions send three fields.
            reports.push_back({ EndpointId(report.at(0).get<std::string>()), fromAge(report.at(1)),
                fromAge(report.at(2)), overloaded });
        }
        return reports;
    }

    json toJson(const std::vector<GroupSample>& samples)
    {
        auto out = json::array();
        for (const auto& sample : samples) {
            out.push_back(json::array(
                { sample.group_.value_, sample.position_.term_, sample.position_.index_, toAge(sample.age_) }));
        }
        return out;
    }

    std::vector<GroupSample> samplesFrom(const json& in)
    {
        std::vector<GroupSample> samples;
        for (const auto& sample : in) {
            samples.push_back({ GroupId(sample.at(0).get<std::string>()),
                { sample.at(1).get<std::uint64_t>(), sample.at(2).get<std::uint64_t>() }, fromAge(sample.at(3)) });
        }
        return samples;
    }

    json toJson(const LeaseVersion& version)
    {
        return json::array({ version.term_, version.number_ });
    }

    LeaseVersion leaseVersionFrom(const json& in)
    {
        return { in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>() };
    }

    json toJson(const LeaseGrant& grant)
    {
        json leases;
        if (grant.table_) {
            leases = json::array();
            for (const auto& lease : grant.table_->leases_)
                leases.push_back(json::array({ lease.group_.value_, lease.primary_.value_ }));
        }
        return json::array({ toJson(grant.version_), toAge(grant.age_), std::move(leases) });
    }

    LeaseGrant leaseGrantFrom(const json& in)
    {
        LeaseGrant grant { leaseVersionFrom(in.at(0)), fromAge(in.at(1)), std::nullopt };
        if (in.at(2).is_null())
            return grant;
        grant.table_ = LeaseTable { grant.version_, {} };
        for (const auto& lease : in.at(2)) {
            grant.table_->leases_.push_back(
                { GroupId(lease.at(0).get<std::string>()), EndpointId(lease.at(1).get<std::string>()) });
        }
        return grant;
    }

    json toJson(const FeedRequest& message, TimePoint)
    {
        return json::array({ KindFeedRequest, message.number_, message.catalogVersion_, message.registryVersion_,
            message.takesRequests_, message.missesResponses_, toJson(message.reports_), toJson(message.leaseVersion_),
            message.dataCentre_.value_, message.neighboursMark_,
            message.othersMark_ ? json(*message.othersMark_) : json() });
    }

    json toJson(const FeedResponse& message, TimePoint now)
    {
        return json::array({ KindFeedResponse, message.number_, message.confirmed_, message.catalogVersion_,
            message.catalog_ ? json::array({ message.catalog_->version_,
                json::binary({ message.catalog_->bytes_.begin(), message.catalog_->bytes_.end() }) })
                             : json(),
            message.registryVersion_, message.records_ ? toJson(*message.records_, now) : json(),
            message.leader_.value_, toJson(message.members_), message.instances_, message.rank_,
            toJson(message.samples_), toAge(message.contactAge_), message.leases_ ? toJson(*message.leases_) : json(),
            message.neighboursMark_, message.neighbours_ ? toJson(*message.neighbours_) : json(), message.dataCentres_,
            message.othersMark_, message.others_ ? toJson(*message.others_) : json() });
    }

    json toJson(const RegistryUpdate& message, TimePoint now)
    {
        auto dataCentres = json::array();
        for (const auto& dataCentre : message.dataCentres_)
            dataCentres.push_back(dataCentre.value_);
        return json::array({ KindRegistryUpdate, toJson(message.records_, now), message.requestsAll_,
            message.recipientSilent_, toJson(message.instances_), std::move(dataCentres) });
    }

    json toJson(const ReportRelay& message, TimePoint)
    {
        return json::array({ KindReportRelay, message.instance_.value_, toJson(message.reports_) });
    }

    json toJson(const LeaseRequest& message, TimePoint)
    {
        return json::array({ KindLeaseRequest, message.number_, toJson(message.known_), toJson(message.confirmed_) });
    }

    json toJson(const LeaseResponse& message, TimePoint)
    {
        return json::array({ KindLeaseResponse, message.number_, toJson(message.grant_) });
    }

    FeedRequest requestFrom(const json& in)
    {
        FeedRequest request { in.at(1).get<std::uint64_t>(), in.at(2).get<std::uint64_t>(), in.at(3).get<std::string>(),
            in.at(4).get<bool>(), in.at(5).get<bool>(), reportsFrom(in.at(6)), {} };
        if (in.size() > 7) // Requests of earlier versions end here.
            request.leaseVersion_ = leaseVersionFrom(in.at(7));
        if (in.size() > 9) {
            request.dataCentre_ = DataCentre(in.at(8).get<std::string>());
            request.neighboursMark_ = in.at(9).get<std::uint64_t>();
        }
        if (in.size() > 10 && !in.at(10).is_null())
            request.othersMark_ = in.at(10).get<std::uint64_t>();
        return request;
    }

    FeedResponse responseFrom(const json& in, TimePoint now)
    {
        FeedResponse response;
        response.number_ = in.at(1).get<std::uint64_t>();
        response.confirmed_ = in.at(2).get<bool>();
        response.catalogVersion_ = in.at(3).get<std::uint64_t>();
        if (const auto& catalog = in.at(4); !catalog.is_null()) {
            const auto& bytes = catalog.at(1).get_binary();
            response.catalog_ = std::make_shared<const PackedCatalog>(
                PackedCatalog { catalog.at(0).get<std::uint64_t>(), std::string(bytes.begin(), bytes.end()) });
        }
        response.registryVersion_ = in.at(5).get<std::string>();
        if (!in.at(6).is_null())
            response.records_ = recordsFrom(in.at(6), now);
        response.leader_ = InstanceId(in.at(7).get<std::string>());
        response.members_ = instancesFrom(in.at(8));
        response.instances_ = in.at(9).get<std::size_t>();
        response.rank_ = in.at(10).get<std::size_t>();
        response.samples_ = samplesFrom(in.at(11));
        if (in.size() > 12) // Responses of earlier versions end here.
            response.contactAge_ = fromAge(in.at(12));
        if (in.size() > 13 && !in.at(13).is_null())
            response.leases_ = leaseGrantFrom(in.at(13));
        if (in.size() > 16) {
            response.neighboursMark_ = in.at(14).get<std::uint64_t>();
            if (!in.at(15).is_null())
                response.neighbours_ = instancesFrom(in.at(15));
            response.dataCentres_ = in.at(16).get<std::size_t>();
        }
        if (in.size() > 18) {
            response.othersMark_ = in.at(17).get<std::uint64_t>();
            if (!in.at(18).is_null())
                response.others_ = dataCentresFrom(in.at(18));
        }
        return response;
    }

    RegistryUpdate updateFrom(const json& in, TimePoint now)
    {
        RegistryUpdate update { recordsFrom(in.at(1), now), in.at(2).get<bool>(), in.at(3).get<bool>(),
            instancesFrom(in.at(4)), {} };
        if (in.size() > 5) { // Updates of earlier versions end here.
            for (const auto& dataCentre : in.at(5))
                update.dataCentres_.emplace_back(dataCentre.get<std::string>());
        }
        return update;
    }

    DirectoryMessage messageFrom(const json& in, TimePoint now)
    {
        switch (in.at(0).get<int>()) {
        case KindFeedRequest:
            return requestFrom(in);
        case KindFeedResponse:
            return responseFrom(in, now);
        case KindRegistryUpdate:
            return updateFrom(in, now);
        case KindReportRelay:
            return ReportRelay { InstanceId(in.at(1).get<std::string>()), reportsFrom(in.at(2)) };
        case KindLeaseRequest:
            return LeaseRequest { in.at(1).get<std::uint64_t>(), leaseVersionFrom(in.at(2)),
                leaseVersionFrom(in.at(3)) };
        case KindLeaseResponse:
            return LeaseResponse { in.at(1).get<std::uint64_t>(), leaseGrantFrom(in.at(2)) };
        default:
            throw std::invalid_argument("unknown kind of directory message");
        }
    }

} // namespace

PackedCatalog packCatalog(const CatalogDocument& catalog)
{
    PackedCatalog packed { catalog.version_, {} };
    auto size = compressBound(catalog.document_.size());
    packed.bytes_.resize(sizePrefixBytes + size);
    for (std::size_t i = 0; i < sizePrefixBytes; ++i)
        packed.bytes_[i] = static_cast<char>(catalog.document_.size() >> (8 * i));
    compress2(reinterpret_cast<Bytef*>(packed.bytes_.data() + sizePrefixBytes), &size,
        reinterpret_cast<const Bytef*>(catalog.document_.data()), catalog.document_.size(), Z_BEST_SPEED);
    packed.bytes_.resize(sizePrefixBytes + size);
    return packed;
}

leaf::result<CatalogDocument> unpackCatalog(const PackedCatalog& packed)
{
    const auto malformed = [] {
        return leaf::new_error(Failure { Reason::MessageMalformed, "the compressed catalog is damaged" });
    };
    if (packed.bytes_.size() < sizePrefixBytes)
        return malformed();
    std::size_t size = 0;
    for (std::size_t i = 0; i < sizePrefixBytes; ++i)
        size |= static_cast<std::size_t>(static_cast<unsigned char>(packed.bytes_[i])) << (8 * i);
    if (size > maximumDocumentBytes)
        return malformed();
    CatalogDocument catalog { packed.version_, std::string(size, '\0') };
    auto unpacked = static_cast<uLongf>(size);
    const auto status = uncompress(reinterpret_cast<Bytef*>(catalog.document_.data()), &unpacked,
        reinterpret_cast<const Bytef*>(packed.bytes_.data() + sizePrefixBytes), packed.bytes_.size() - sizePrefixBytes);
    if (status != Z_OK || unpacked != size)
        return malformed();
    return catalog;
}

std::string encodeDirectoryMessage(const DirectoryMessage& message, TimePoint now)
{
    std::string bytes;
    json::to_msgpack(std::visit([&](const auto& body) { return toJson(body, now); }, message), bytes);
    return bytes;
}

leaf::result<DirectoryMessage> decodeDirectoryMessage(std::string_view bytes, TimePoint now)
{
    try {
        checkNesting(bytes, json::input_format_t::msgpack);
        return messageFrom(json::from_msgpack(bytes.begin(), bytes.end()), now);
    } catch (const std::exception& error) {
        return leaf::new_error(Failure { Reason::MessageMalformed, error.what() });
    }
}

} // namespace cassiahollow
