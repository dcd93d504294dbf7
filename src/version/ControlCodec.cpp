#include "cassiahollow/version/ControlCodec.h"

#include "wire/control.pb.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <limits>

namespace cassiahollow {

namespace leaf = boost::leaf;

namespace {

    auto malformed(const char* what)
    {
        return leaf::new_error(Failure { Reason::MessageMalformed, what });
    }

    LogPosition fromWire(const wire::ControlPosition& in)
    {
        return { in.term(), in.index() };
    }

    void toWire(const LogPosition& position, wire::ControlPosition& out)
    {
        out.set_term(position.term_);
        out.set_index(position.index_);
    }

    void toWire(const SettingValue& value, wire::ControlSettingValue& out)
    {
        if (const auto* flag = std::get_if<bool>(&value))
            out.set_flag(*flag);
        else if (const auto* count = std::get_if<std::int64_t>(&value))
            out.set_count(*count);
        else if (const auto* time = std::get_if<std::chrono::milliseconds>(&value))
            out.set_milliseconds(time->count());
        else
            out.set_text(std::get<std::string>(value));
    }

    leaf::result<SettingValue> fromWire(const wire::ControlSettingValue& in)
    {
        switch (in.value_case()) {
        case wire::ControlSettingValue::kFlag:
            return SettingValue(in.flag());
        case wire::ControlSettingValue::kCount:
            return SettingValue(in.count());
        case wire::ControlSettingValue::kMilliseconds:
            return SettingValue(std::chrono::milliseconds(in.milliseconds()));
        case wire::ControlSettingValue::kText:
            return SettingValue(in.text());
        case wire::ControlSettingValue::VALUE_NOT_SET:
            break;
        }
        return malformed("a setting has no value");
    }

    void toWire(const SettingsTree& tree, wire::ControlSettingsTree& out)
    {
        out.set_revision(tree.revision_);
        out.set_change_key(tree.changeKey_);
        for (const auto& [path, node] : tree.nodes_) {
            auto& outNode = *out.add_nodes();
            outNode.set_path(path);
            for (const auto& [name, value] : node) {
                auto& setting = *outNode.add_settings();
                setting.set_name(name);
                toWire(value, *setting.mutable_value());
            }
        }
    }

    leaf::result<SettingsTree> fromWire(const wire::ControlSettingsTree& in)
    {
        SettingsTree tree;
        tree.revision_ = in.revision();
        tree.changeKey_ = in.change_key();
        if (static_cast<std::size_t>(in.nodes_size()) > maximumSettingsNodes)
            return malformed("a settings tree has too many nodes");
        for (const auto& node : in.nodes()) {
            auto& outNode = tree.nodes_[node.path()];
            for (const auto& setting : node.settings()) {
                BOOST_LEAF_AUTO(value, fromWire(setting.value()));
                outNode.insert_or_assign(setting.name(), std::move(value));
            }
        }
        return tree;
    }

    void toWire(const GroupId& group, std::uint64_t version, const std::vector<EndpointId>& members,
        wire::ControlGroupMembers& out)
    {
        out.set_group(group.value_);
        out.set_version(version);
        for (const auto& member : members)
            out.add_members(member.value_);
    }

    std::vector<EndpointId> membersFromWire(const wire::ControlGroupMembers& in)
    {
        std::vector<EndpointId> members;
        for (const auto& member : in.members())
            members.emplace_back(member);
        return members;
    }

    void toWire(const CatalogDocument& catalog, wire::ControlCatalog& out)
    {
        out.set_version(catalog.version_);
        out.set_document(catalog.document_);
    }

    CatalogDocument fromWire(const wire::ControlCatalog& in)
    {
        return { in.version(), in.document() };
    }

    void toWire(const ControlChange& change, wire::ControlChange& out)
    {
        out.set_key(change.key_);
        if (const auto* settings = std::get_if<SettingsChange>(&change.command_)) {
            auto& outSettings = *out.mutable_settings();
            outSettings.set_seen_revision(settings->expectedRevision_);
            for (const auto& operation : settings->operations_) {
                auto& outOperation = *outSettings.add_operations();
                outOperation.set_unset(operation.kind_ == SettingsOperation::Kind::Unset);
                outOperation.set_path(operation.path_);
                outOperation.set_name(operation.name_);
                outOperation.set_value(operation.value_);
            }
            return;
        }
        if (const auto* catalog = std::get_if<CatalogChange>(&change.command_))
            return toWire(catalog->catalog_, *out.mutable_catalog());
        if (const auto* grant = std::get_if<GrantChange>(&change.command_)) {
            out.mutable_grant()->set_group(grant->group_.value_);
            out.mutable_grant()->set_endpoint(grant->endpoint_.value_);
            out.mutable_grant()->set_holder(grant->holder_.value_);
            return;
        }
        const auto& group = std::get<GroupMembersChange>(change.command_);
        toWire(group.group_, group.expectedVersion_, group.members_, *out.mutable_group());
    }

    leaf::result<ControlChange> fromWire(const wire::ControlChange& in)
    {
        ControlChange change;
        change.key_ = in.key();
        switch (in.command_case()) {
        case wire::ControlChange::kSettings: {
            SettingsChange settings;
            settings.expectedRevision_ = in.settings().seen_revision();
            for (const auto& operation : in.settings().operations()) {
                settings.operations_.push_back(
                    { operation.unset() ? SettingsOperation::Kind::Unset : SettingsOperation::Kind::Set,
                        operation.path(), operation.name(), operation.value() });
            }
            change.command_ = std::move(settings);
            break;
        }
        case wire::ControlChange::kGroup:
            change.command_
                = GroupMembersChange { GroupId(in.group().group()), in.group().version(), membersFromWire(in.group()) };
            break;
        case wire::ControlChange::kCatalog:
            change.command_ = CatalogChange { fromWire(in.catalog()) };
            break;
        case wire::ControlChange::kGrant:
            change.command_ = GrantChange { GroupId(in.grant().group()), EndpointId(in.grant().endpoint()),
                InstanceId(in.grant().holder()) };
            break;
        case wire::ControlChange::COMMAND_NOT_SET:
            return malformed("a change has no command");
        }
        BOOST_LEAF_CHECK(checkChange(change));
        return change;
    }

    void toWire(const ChangeOutcome& outcome, wire::ControlOutcome& out)
    {
        out.set_outcome(static_cast<std::uint32_t>(outcome.outcome_));
        out.set_revision(outcome.revision_);
        if (outcome.reason_)
            out.set_reason(std::string(reasonInfo(*outcome.reason_).name_));
        out.set_detail(outcome.detail_);
        out.set_decided(outcome.decided_);
        out.set_catalog_version(outcome.catalogVersion_);
    }

    leaf::result<ChangeOutcome> fromWire(const wire::ControlOutcome& in)
    {
        if (in.outcome() > static_cast<std::uint32_t>(Outcome::Unknown))
            return malformed("an outcome is not known");
        ChangeOutcome outcome { .outcome_ = static_cast<Outcome>(in.outcome()),
            .revision_ = in.revision(),
            .detail_ = in.detail(),
            .decided_ = in.decided(),
            .catalogVersion_ = in.catalog_version() };
        if (in.reason().empty())
            return outcome;
        const auto& reasons = allReasons();
        const auto found = std::find_if(
            reasons.begin(), reasons.end(), [&](const ReasonInfo& info) { return info.name_ == in.reason(); });
        if (found == reasons.end())
            return malformed("a reason is not known");
        outcome.reason_ = found->reason_;
        return outcome;
    }

    void toWire(const ControlConfiguration& configuration, wire::ControlConfiguration& out)
    {
        out.set_cluster(configuration.cluster_);
        for (const auto& member : configuration.members_) {
            auto& outMember = *out.add_members();
            outMember.set_instance(member.instance_.value_);
            outMember.set_identity(member.identity_);
            outMember.set_voter(member.voter_);
        }
    }

    ControlConfiguration fromWire(const wire::ControlConfiguration& in)
    {
        ControlConfiguration configuration { in.cluster(), {} };
        for (const auto& member : in.members())
            configuration.members_.push_back({ InstanceId(member.instance()), member.identity(), member.voter() });
        return configuration;
    }

    void toWire(const ControlEntry& entry, wire::ControlEntry& out)
    {
        toWire(entry.position_, *out.mutable_position());
        if (const auto* start = std::get_if<StartSettings>(&entry.body_))
            toWire(start->tree_, *out.mutable_start());
        else if (const auto* change = std::get_if<ControlChange>(&entry.body_))
            toWire(*change, *out.mutable_change());
        else if (const auto* configuration = std::get_if<ControlConfiguration>(&entry.body_))
            toWire(*configuration, *out.mutable_configuration());
        else
            out.mutable_empty();
    }

    leaf::result<ControlEntry> fromWire(const wire::ControlEntry& in)
    {
        ControlEntry entry { fromWire(in.position()), EmptyEntry {} };
        if (entry.position_.index_ == 0 || entry.position_.term_ == 0)
            return malformed("an entry has no position");
        switch (in.body_case()) {
        case wire::ControlEntry::kEmpty:
            break;
        case wire::ControlEntry::kStart: {
            BOOST_LEAF_AUTO(tree, fromWire(in.start()));
            entry.body_ = StartSettings { std::move(tree) };
            break;
        }
        case wire::ControlEntry::kChange: {
            BOOST_LEAF_AUTO(change, fromWire(in.change()));
            entry.body_ = std::move(change);
            break;
        }
        case wire::ControlEntry::kConfiguration:
            entry.body_ = fromWire(in.configuration());
            break;
        case wire::ControlEntry::BODY_NOT_SET:
            return malformed("an entry has no body");
        }
        return entry;
    }

    template <typename WireEntries> leaf::result<std::vector<ControlEntry>> entriesFromWire(const WireEntries& in)
    {
        std::vector<ControlEntry> entries;
        for (const auto& wireEntry : in) {
            BOOST_LEAF_AUTO(entry, fromWire(wireEntry));
            if (!entries.empty() && entry.position_.index_ != entries.back().position_.index_ + 1)
                return malformed("entries are not consecutive");
            entries.push_back(std::move(entry));
        }
        return entries;
    }

    void toWire(const ControlSnapshot& snapshot, wire::ControlSnapshot& out)
    {
        toWire(snapshot.last_, *out.mutable_last());
        toWire(snapshot.configuration_, *out.mutable_configuration());
        toWire(snapshot.state_.settings_, *out.mutable_settings());
        for (const auto& [group, members] : snapshot.state_.groups_)
            toWire(group, members.version_, members.members_, *out.add_groups());
        if (snapshot.state_.catalog_.version_ > 0)
            toWire(snapshot.state_.catalog_, *out.mutable_catalog());
        for (const auto& [group, grant] : snapshot.state_.grants_) {
            auto& item = *out.add_grants();
            item.set_group(group.value_);
            item.set_endpoint(grant.endpoint_.value_);
            item.set_holder(grant.holder_.value_);
            item.set_fence(grant.fence_);
        }
        for (const auto& key : snapshot.state_.keys_) {
            const auto outcome = snapshot.state_.outcomes_.find(key);
            if (outcome == snapshot.state_.outcomes_.end())
                continue;
            auto& item = *out.add_outcomes();
            item.set_key(key);
            toWire(outcome->second, *item.mutable_outcome());
        }
    }

    leaf::result<std::shared_ptr<const ControlSnapshot>> fromWire(const wire::ControlSnapshot& in)
    {
        auto snapshot = std::make_shared<ControlSnapshot>();
        snapshot->last_ = fromWire(in.last());
        if (snapshot->last_.index_ == 0 || in.configuration().members().empty())
            return malformed("a snapshot has no position or no members");
        snapshot->configuration_ = fromWire(in.configuration());
        auto& state = snapshot->state_;
        BOOST_LEAF_ASSIGN(state.settings_, fromWire(in.settings()));
        for (const auto& group : in.groups())
            state.groups_[GroupId(group.group())] = { group.version(), membersFromWire(group) };
        state.catalog_ = fromWire(in.catalog());
        for (const auto& grant : in.grants()) {
            state.grants_[GroupId(grant.group())]
                = { grant.fence(), EndpointId(grant.endpoint()), InstanceId(grant.holder()) };
        }
        if (static_cast<std::size_t>(in.outcomes_size()) > maximumChangeKeys)
            return malformed("a snapshot has too many keys");
        for (const auto& item : in.outcomes()) {
            BOOST_LEAF_AUTO(outcome, fromWire(item.outcome()));
            if (!state.outcomes_.emplace(item.key(), std::move(outcome)).second)
                return malformed("a snapshot has a key twice");
            state.keys_.push_back(item.key());
        }
        return std::shared_ptr<const ControlSnapshot>(std::move(snapshot));
    }

    void toWire(const RequestMessage& message, wire::ControlRequest& out)
    {
        out.set_number(message.number_);
        if (const auto* change = std::get_if<ControlChange>(&message.request_)) {
            toWire(*change, *out.mutable_change());
        } else if (const auto* member = std::get_if<ControlMemberChange>(&message.request_)) {
            out.mutable_member()->set_add(member->add_);
            out.mutable_member()->set_instance(member->instance_.value_);
        } else {
            out.mutable_read();
        }
    }

    leaf::result<RequestMessage> fromWire(const wire::ControlRequest& in)
    {
        RequestMessage message { in.number(), ControlRead {} };
        switch (in.request_case()) {
        case wire::ControlRequest::kChange: {
            BOOST_LEAF_AUTO(change, fromWire(in.change()));
            message.request_ = std::move(change);
            break;
        }
        case wire::ControlRequest::kMember:
            message.request_ = ControlMemberChange { in.member().add(), InstanceId(in.member().instance()),
                in.member().departure() };
            break;
        case wire::ControlRequest::kRead:
            break;
        case wire::ControlRequest::REQUEST_NOT_SET:
            return malformed("a request is empty");
        }
        return message;
    }

    struct BodyWriter {
        wire::ControlMessage& out_;

        void operator()(const ControlHello& hello)
        {
            out_.mutable_hello()->set_founded(hello.founded_);
            out_.mutable_hello()->set_answer_wanted(hello.responseRequested_);
            for (const auto& instance : hello.members_)
                out_.mutable_hello()->add_members(instance.value_);
        }
        void operator()(const PreVoteRequest& request) { toWire(request.last_, *out_.mutable_pre_vote()); }
        void operator()(const PreVoteResponse& response) { out_.set_pre_vote_answer(response.granted_); }
        void operator()(const VoteRequest& request) { toWire(request.last_, *out_.mutable_vote()); }
        void operator()(const VoteResponse& response) { out_.set_vote_answer(response.granted_); }
        void operator()(const AppendRequest& request)
        {
            auto& append = *out_.mutable_append();
            toWire(request.previous_, *append.mutable_previous());
            append.set_commit(request.commit_);
            append.set_round(request.round_);
            for (const auto& entry : request.entries_)
                toWire(entry, *append.add_entries());
        }
        void operator()(const SnapshotRequest& request)
        {
            toWire(*request.snapshot_, *out_.mutable_install()->mutable_snapshot());
            out_.mutable_install()->set_round(request.round_);
        }
        void operator()(const AppendResponse& response)
        {
            out_.mutable_append_answer()->set_matched(response.matched_);
            out_.mutable_append_answer()->set_index(response.index_);
            out_.mutable_append_answer()->set_round(response.round_);
        }
        void operator()(const RequestMessage& message) { toWire(message, *out_.mutable_request()); }
        void operator()(const ResponseMessage& response)
        {
            auto& out = *out_.mutable_request_answer();
            out.set_number(response.number_);
            toWire(response.outcome_, *out.mutable_outcome());
            if (response.settings_)
                toWire(*response.settings_, *out.mutable_settings());
        }
    };

    template <typename Wire> bool parse(Wire& out, std::string_view bytes)
    {
        return bytes.size() <= static_cast<std::size_t>(std::numeric_limits<int>::max())
            && out.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    }

} // namespace

std::string encodeControlMessage(const ControlMessage& message)
{
    wire::ControlMessage out;
    out.set_cluster(message.cluster_);
    out.set_sender(message.sender_.value_);
    out.set_sender_identity(message.senderIdentity_);
    out.set_recipient_identity(message.recipientIdentity_);
    out.set_term(message.term_);
    std::visit(BodyWriter { out }, message.body_);
    return out.SerializeAsString();
}

leaf::result<ControlMessage> decodeControlMessage(std::string_view bytes)
{
    wire::ControlMessage in;
    if (!parse(in, bytes))
        return malformed("not a control message");
    ControlMessage message;
    message.cluster_ = in.cluster();
    message.sender_ = InstanceId(in.sender());
    message.senderIdentity_ = in.sender_identity();
    message.recipientIdentity_ = in.recipient_identity();
    message.term_ = in.term();
    switch (in.body_case()) {
    case wire::ControlMessage::kHello:
        message.body_ = ControlHello { in.hello().founded(), in.hello().answer_wanted(),
            { in.hello().members().begin(), in.hello().members().end() } };
        break;
    case wire::ControlMessage::kPreVote:
        message.body_ = PreVoteRequest { fromWire(in.pre_vote()) };
        break;
    case wire::ControlMessage::kPreVoteAnswer:
        message.body_ = PreVoteResponse { in.pre_vote_answer() };
        break;
    case wire::ControlMessage::kVote:
        message.body_ = VoteRequest { fromWire(in.vote()) };
        break;
    case wire::ControlMessage::kVoteAnswer:
        message.body_ = VoteResponse { in.vote_answer() };
        break;
    case wire::ControlMessage::kAppend: {
        BOOST_LEAF_AUTO(entries, entriesFromWire(in.append().entries()));
        message.body_ = AppendRequest { fromWire(in.append().previous()), in.append().commit(), in.append().round(),
            std::move(entries) };
        break;
    }
    case wire::ControlMessage::kInstall: {
        BOOST_LEAF_AUTO(snapshot, fromWire(in.install().snapshot()));
        message.body_ = SnapshotRequest { std::move(snapshot), in.install().round() };
        break;
    }
    case wire::ControlMessage::kAppendAnswer:
        message.body_
            = AppendResponse { in.append_answer().matched(), in.append_answer().index(), in.append_answer().round() };
        break;
    case wire::ControlMessage::kRequest: {
        BOOST_LEAF_AUTO(request, fromWire(in.request()));
        message.body_ = std::move(request);
        break;
    }
    case wire::ControlMessage::kRequestAnswer: {
        ResponseMessage response;
        response.number_ = in.request_answer().number();
        BOOST_LEAF_ASSIGN(response.outcome_, fromWire(in.request_answer().outcome()));
        if (in.request_answer().has_settings()) {
            BOOST_LEAF_AUTO(tree, fromWire(in.request_answer().settings()));
            response.settings_ = std::make_shared<const SettingsTree>(std::move(tree));
        }
        message.body_ = std::move(response);
        break;
    }
    case wire::ControlMessage::BODY_NOT_SET:
        return malformed("a control message has no body");
    }
    return message;
}

std::string encodeControlRecord(const PersistAction& action)
{
    wire::ControlRecord out;
    if (action.truncateFrom_) {
        out.set_truncates(true);
        out.set_truncate_from(*action.truncateFrom_);
    }
    for (const auto& entry : action.entries_)
        toWire(entry, *out.add_entries());
    if (action.promise_) {
        out.mutable_promise()->set_term(action.promise_->term_);
        out.mutable_promise()->set_vote(action.promise_->vote_);
    }
    return out.SerializeAsString();
}

leaf::result<PersistAction> decodeControlRecord(std::string_view bytes)
{
    wire::ControlRecord in;
    if (!parse(in, bytes))
        return malformed("not a journal record");
    PersistAction action;
    if (in.truncates())
        action.truncateFrom_ = in.truncate_from();
    BOOST_LEAF_ASSIGN(action.entries_, entriesFromWire(in.entries()));
    if (in.has_promise())
        action.promise_ = ControlPromise { in.promise().term(), in.promise().vote() };
    return action;
}

std::string encodeControlSnapshot(const ControlSnapshot& snapshot)
{
    wire::ControlSnapshot out;
    toWire(snapshot, out);
    return out.SerializeAsString();
}

leaf::result<std::shared_ptr<const ControlSnapshot>> decodeControlSnapshot(std::string_view bytes)
{
    wire::ControlSnapshot in;
    if (!parse(in, bytes))
        return malformed("not a snapshot");
    return fromWire(in);
}

std::string encodeSettings(const SettingsTree& tree)
{
    wire::ControlSettingsTree out;
    toWire(tree, out);
    return out.SerializeAsString();
}

leaf::result<SettingsTree> decodeSettings(std::string_view bytes)
{
    wire::ControlSettingsTree in;
    if (!parse(in, bytes))
        return malformed("not a settings tree");
    return fromWire(in);
}

} // namespace cassiahollow
