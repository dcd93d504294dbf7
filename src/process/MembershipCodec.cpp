#include "cassiahollow/process/MembershipCodec.h"

#include "wire/membership.pb.h"

#include <boost/leaf/error.hpp>
#include <limits>

namespace cassiahollow {

namespace {

    void encode(const InstanceRecord& record, wire::InstanceRecord& out)
    {
        out.set_id(record.id_.value_);
        out.set_address(record.address_);
        out.set_data_centre(record.dataCentre_.value_);
        out.set_incarnation(record.incarnation_);
        out.set_sequence(record.sequence_);
        out.set_status(static_cast<std::uint32_t>(record.status_));
        out.set_draining(record.draining_);
        out.set_applied_revision(record.appliedRevision_);
    }

    void encode(const EndpointRecord& record, wire::EndpointRecord& out)
    {
        out.set_id(record.id_.value_);
        out.set_group(record.group_.value_);
        out.set_address(record.address_);
        out.set_data_centre(record.dataCentre_.value_);
        out.set_slots(record.slots_);
        out.set_connections(record.connections_);
        out.set_primary(record.role_ == EndpointRole::Primary);
        out.set_promised_term(record.promisedTerm_);
        out.set_leaving(record.leaving_);
        out.set_started(record.started_);
        out.set_sequence(record.sequence_);
        out.set_expired(record.expired_);
        out.set_heard_outside(record.announcedOutside_);
    }

    struct RecordEncoder {
        wire::DirectoryRecord& out_;

        void operator()(const InstanceRecord& record) const { encode(record, *out_.mutable_instance()); }
        void operator()(const EndpointRecord& record) const { encode(record, *out_.mutable_endpoint()); }
        void operator()(const DrainRecord& record) const
        {
            out_.mutable_drain()->set_endpoint(record.endpoint_.value_);
            out_.mutable_drain()->set_started(record.started_);
        }
        void operator()(const RouteRecord& record) const
        {
            out_.mutable_route()->set_group(record.group_.value_);
            out_.mutable_route()->set_term(record.term_);
            out_.mutable_route()->set_primary(record.primary_.value_);
        }
        void operator()(const GroupMembersRecord& record) const
        {
            auto& members = *out_.mutable_group_members();
            members.set_group(record.group_.value_);
            members.set_epoch(record.epoch_);
            for (const auto& member : record.members_)
                members.add_members(member.value_);
        }
    };

    /// Converts the fields of a message and stores the first error, so that the caller checks it once at the end.
    struct Reader {
        std::string error_;

        void require(bool condition, const char* error)
        {
            if (!condition && error_.empty())
                error_ = error;
        }

        std::string text(const std::string& value)
        {
            require(value.size() <= maxMembershipTextBytes, "text longer than 255 bytes");
            return value;
        }

        std::string id(const std::string& value)
        {
            require(!value.empty(), "id missing");
            return text(value);
        }

        InstanceRecord read(const wire::InstanceRecord& in)
        {
            require(in.status() <= static_cast<std::uint32_t>(InstanceStatus::Dead), "unknown instance status");
            // An instance raises its sequence and incarnation above any that it receives for itself; the maximum would
            // wrap around.
            require(in.sequence() != std::numeric_limits<std::uint64_t>::max()
                    && in.incarnation() != std::numeric_limits<std::uint64_t>::max(),
                "sequence or incarnation out of range");
            return { InstanceId(id(in.id())), text(in.address()), DataCentre(text(in.data_centre())), in.incarnation(),
                in.sequence(), static_cast<InstanceStatus>(in.status()), in.draining(), in.applied_revision() };
        }

        EndpointRecord read(const wire::EndpointRecord& in)
        {
            return { EndpointId(id(in.id())), GroupId(id(in.group())), text(in.address()),
                DataCentre(text(in.data_centre())), in.slots(), in.connections(),
                in.primary() ? EndpointRole::Primary : EndpointRole::Replica, in.promised_term(), in.leaving(),
                in.started(), in.sequence(), in.expired(), in.heard_outside() };
        }

        GroupMembersRecord read(const wire::GroupMembersRecord& in)
        {
            GroupMembersRecord record { GroupId(id(in.group())), in.epoch(), {} };
            for (const auto& member : in.members())
                record.members_.emplace_back(id(member));
            return record;
        }

        Record read(const wire::DirectoryRecord& in)
        {
            switch (in.record_case()) {
            case wire::DirectoryRecord::kInstance:
                return read(in.instance());
            case wire::DirectoryRecord::kEndpoint:
                return read(in.endpoint());
            case wire::DirectoryRecord::kDrain:
                return DrainRecord { EndpointId(id(in.drain().endpoint())), in.drain().started() };
            case wire::DirectoryRecord::kRoute:
                return RouteRecord { GroupId(id(in.route().group())), in.route().term(),
                    EndpointId(id(in.route().primary())) };
            case wire::DirectoryRecord::kGroupMembers:
                return read(in.group_members());
            case wire::DirectoryRecord::RECORD_NOT_SET:
                break;
            }
            require(false, "record of unknown kind");
            return DrainRecord {};
        }
    };

} // namespace

std::string encodeMembershipMessage(const MembershipMessage& message)
{
    wire::MembershipMessage out;
    out.set_kind(static_cast<wire::MembershipKind>(static_cast<int>(message.kind_) + 1));
    out.set_number(message.number_);
    encode(message.sender_, *out.mutable_sender());
    out.set_target(message.target_.value_);
    out.set_target_address(message.targetAddress_);
    for (const auto& record : message.records_)
        std::visit(RecordEncoder { *out.add_records() }, record);
    for (const auto& entry : message.appliedRevisions_) {
        auto& applied = *out.add_applied();
        applied.set_revision(entry.revision_);
        applied.mutable_instances()->Add(entry.instances_.begin(), entry.instances_.end());
    }
    out.mutable_digest()->Add(message.digest_.begin(), message.digest_.end());
    out.set_more(message.incomplete_);
    return out.SerializeAsString();
}

boost::leaf::result<MembershipMessage> decodeMembershipMessage(std::string_view bytes)
{
    wire::MembershipMessage in;
    Reader reader;
    reader.require(bytes.size() <= std::numeric_limits<int>::max()
            && in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())),
        "the bytes cannot be parsed as a membership message");
    if (!reader.error_.empty())
        return boost::leaf::new_error(Failure { Reason::MessageMalformed, reader.error_ });
    MembershipMessage message;
    reader.require(in.kind() > wire::MEMBERSHIP_KIND_UNSPECIFIED && in.kind() <= wire::REPAIR,
        "unknown kind of membership message");
    message.kind_ = static_cast<MembershipMessageKind>(static_cast<int>(in.kind()) - 1);
    message.number_ = in.number();
    message.sender_ = reader.read(in.sender());
    message.target_ = InstanceId(reader.text(in.target()));
    message.targetAddress_ = reader.text(in.target_address());
    message.records_.reserve(static_cast<std::size_t>(in.records_size()));
    for (const auto& record : in.records())
        message.records_.push_back(reader.read(record));
    for (const auto& entry : in.applied())
        message.appliedRevisions_.push_back(
            { entry.revision(), { entry.instances().begin(), entry.instances().end() } });
    message.digest_.assign(in.digest().begin(), in.digest().end());
    message.incomplete_ = in.more();
    reader.require(message.digest_.empty() || message.digest_.size() == digestBuckets, "digest of wrong size");
    reader.require(message.kind_ != MembershipMessageKind::Digest || !message.digest_.empty(), "digest missing");
    reader.require(message.kind_ != MembershipMessageKind::PingRequest
            || (!message.target_.empty() && !message.targetAddress_.empty()),
        "target missing");
    if (!reader.error_.empty())
        return boost::leaf::new_error(Failure { Reason::MessageMalformed, reader.error_ });
    return message;
}

} // namespace cassiahollow
