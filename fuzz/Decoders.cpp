#include "Decoders.h"

#include "PlatformDecoders.h"

#include "cassiahollow/connection/EndpointProtocol.h"
#include "cassiahollow/process/MembershipCodec.h"
#include "cassiahollow/process/PeerMessage.h"
#include "cassiahollow/request/Forward.h"
#include "cassiahollow/request/SessionToken.h"
#include "cassiahollow/version/ControlCodec.h"
#include "cassiahollow/version/GroupMessages.h"
#include "process/ProcessSettings.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/leaf/handle_errors.hpp>
#include <concepts>
#include <exception>
#include <filesystem>
#include <fstream>
#include <google/protobuf/stubs/logging.h>
#include <memory>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <tuple>
#include <unistd.h>

namespace cassiahollow::fuzz {

namespace leaf = boost::leaf;

namespace {

    const std::string deploymentKey = "a deployment key for tests";

    const SessionKeys& sessionKeys()
    {
        static const SessionKeys keys { { 7, "a session secret for tests" } };
        return keys;
    }

    Verdict fault(std::string what)
    {
        return { false, std::move(what) };
    }

    Verdict refusal(const Failure& failure)
    {
        if (failure.reason_ >= Reason::Count)
            return fault("a refusal has no reason");
        return {};
    }

    /// Runs a function that returns a result<Verdict>. Any failure is a refusal.
    template <typename F> Verdict verdictOf(F&& function)
    {
        return leaf::try_handle_all(
            std::forward<F>(function), [](const Failure& failure) { return refusal(failure); },
            [] { return fault("a refusal carries no Failure"); });
    }

    // Types without operator==. A field that is lost on the way would not change the bytes of a second encoding.
    bool isSame(const PeerMessage& a, const PeerMessage& b)
    {
        const auto all = [](const PeerMessage& m) {
            return std::tie(m.sender_, m.incarnation_, m.senderAddress_, m.kind_, m.body_);
        };
        return all(a) == all(b);
    }

    bool isSame(const GroupVote& a, const GroupVote& b)
    {
        const auto all = [](const GroupVote& v) {
            return std::tie(v.group_, v.voter_, v.endpoint_, v.term_, v.suspects_, v.highestPromised_);
        };
        return all(a) == all(b);
    }

    bool isSame(const ForwardMessage& a, const ForwardMessage& b)
    {
        if (a.index() != b.index())
            return false;
        if (const auto* request = std::get_if<ForwardRequest>(&a)) {
            const auto all = [](const ForwardRequest& r) {
                return std::tie(r.number_, r.endpoint_, r.group_, r.term_, r.service_, r.class_, r.weight_, r.urgent_,
                    r.readOnly_, r.statements_, r.key_, r.required_, r.maxAge_, r.remaining_, r.finalChoice_,
                    r.transaction_, r.operation_);
            };
            return all(*request) == all(std::get<ForwardRequest>(b));
        }
        if (const auto* reply = std::get_if<ForwardReply>(&a)) {
            const auto all = [](const ForwardReply& r) {
                return std::tie(r.number_, r.outcome_, r.reason_, r.detail_, r.answers_, r.position_, r.repeatedKey_,
                    r.redirect_, r.routeTerm_, r.routePrimary_, r.wasSent_);
            };
            return all(*reply) == all(std::get<ForwardReply>(b));
        }
        if (const auto* tree = std::get_if<TreeReply>(&a))
            return tree->tree_ == std::get<TreeReply>(b).tree_;
        return true;
    }

    bool isSame(const PersistAction& a, const PersistAction& b)
    {
        return a.truncateFrom_ == b.truncateFrom_ && a.entries_ == b.entries_ && a.promise_ == b.promise_;
    }

    bool isSame(const std::shared_ptr<const ControlSnapshot>& a, const std::shared_ptr<const ControlSnapshot>& b)
    {
        return a && b && *a == *b;
    }

    template <std::equality_comparable Value> bool isSame(const Value& a, const Value& b)
    {
        return a == b;
    }

    /// Types with many alternatives and no operator== are compared by the bytes of their encodings only.
    template <typename Value> bool isSame(const Value&, const Value&)
    {
        return true;
    }

    /// Decodes, and encodes and decodes again what was accepted.
    template <typename Decode, typename Encode, typename DecodeAgain>
    auto roundTrip(Decode decode, Encode encode, DecodeAgain decodeAgain)
    {
        return [=](const std::string& bytes) {
            return verdictOf([&]() -> leaf::result<Verdict> {
                BOOST_LEAF_AUTO(value, decode(bytes));
                const std::string encoded = encode(value);
                return verdictOf([&]() -> leaf::result<Verdict> {
                    const auto again = decodeAgain(encoded);
                    if (!again)
                        return Verdict { true, "the encoding of an accepted value is refused: " + hex(encoded) };
                    if (!isSame(*again, value) || encode(*again) != encoded)
                        return Verdict { true, "an accepted value changes when encoded: " + hex(encoded) };
                    return Verdict { true, {} };
                });
            });
        };
    }

    template <typename Decode, typename Encode> auto roundTrip(Decode decode, Encode encode)
    {
        return roundTrip(decode, encode, decode);
    }

    std::string mac(const std::string& key, const std::string& bytes)
    {
        std::array<unsigned char, 32> code {};
        unsigned length = 0;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), code.data(), &length);
        return { code.begin(), code.end() };
    }

    /// The bytes of an envelope with a valid code, so that mutations reach the parser behind the check.
    std::string signedEnvelope(const std::string& payload)
    {
        return mac(deploymentKey, payload) + payload;
    }

    /// The same for the payload of a session token.
    std::string signedToken(const std::string& payload)
    {
        const std::string keyId { '\0', '\0', '\0', '\x07' };
        const std::string raw
            = keyId + mac(sessionKeys().front().secret_, "cassiahollow session token 1" + keyId + payload) + payload;
        std::string text((raw.size() + 2) / 3 * 4 + 1, '\0');
        const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(raw.data()), static_cast<int>(raw.size()));
        text.resize(static_cast<std::size_t>(length));
        text.resize(text.find_last_not_of('=') + 1);
        std::replace(text.begin(), text.end(), '+', '-');
        std::replace(text.begin(), text.end(), '/', '_');
        return text;
    }

    /// The inverse of signedToken for a token that was just made.
    std::string tokenPayload(std::string text)
    {
        std::replace(text.begin(), text.end(), '-', '+');
        std::replace(text.begin(), text.end(), '_', '/');
        const auto padding = (4 - text.size() % 4) % 4;
        text.append(padding, '=');
        std::string raw(text.size() / 4 * 3, '\0');
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(raw.data()),
            reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
        raw.resize(raw.size() - padding);
        return raw.substr(4 + 32);
    }

    const std::string startTree = "deadline: 3s\nweight: 4\nurgent: true\nrepeat: forbidden\ngroup: g\n"
                                  "services:\n  s:\n    group: g\n    classes:\n      c: {weight: 2, max_age: 2s}\n"
                                  "groups:\n  g: {size: 3, keys: none}\n";

    SettingsTree settingsSeed()
    {
        auto tree = settingsFromYaml(startTree).value();
        tree.revision_ = 7;
        tree.changeKey_ = "change-1";
        return tree;
    }

    SettingsChange changeSeed()
    {
        return { 7,
            { { SettingsOperation::Kind::Set, "/services/s/classes/c", "weight", "9" },
                { SettingsOperation::Kind::Set, "/groups/h", "", "" },
                { SettingsOperation::Kind::Unset, "/", "deadline", "" } } };
    }

    std::vector<ControlEntry> entrySeeds()
    {
        return {
            { { 1, 1 },
                ControlConfiguration { "x", { { InstanceId("a"), "a-1", true }, { InstanceId("b"), "b-1", false } } } },
            { { 1, 2 }, StartSettings { settingsSeed() } }, { { 2, 3 }, EmptyEntry {} },
            { { 2, 4 }, ControlChange { "k1", changeSeed() } },
            { { 3, 5 },
                ControlChange { "k2", GroupMembersChange { GroupId("g"), 2, { EndpointId("e"), EndpointId("f") } } } }
        };
    }

    std::shared_ptr<const ControlSnapshot> snapshotSeed()
    {
        ControlSnapshot snapshot { { 3, 9 }, { "x", { { InstanceId("a"), "a-1", true } } }, {} };
        snapshot.state_.settings_ = settingsSeed();
        for (const auto& entry : entrySeeds()) {
            if (const auto* change = std::get_if<ControlChange>(&entry.body_))
                applyChange(snapshot.state_, *change);
        }
        snapshot.state_.groups_[GroupId("g")] = { 3, { EndpointId("e") } };
        return std::make_shared<const ControlSnapshot>(std::move(snapshot));
    }

    std::vector<std::string> controlSeeds()
    {
        std::vector<std::string> seeds;
        const auto add = [&](auto body) {
            seeds.push_back(encodeControlMessage({ "x", InstanceId("a"), "a-1", "b-1", 4, std::move(body) }));
        };
        add(ControlHello { true, false, { InstanceId("a") } });
        add(PreVoteRequest { { 2, 5 } });
        add(PreVoteResponse { true });
        add(VoteRequest { { 1, 4 } });
        add(VoteResponse { true });
        add(AppendRequest { { 1, 7 }, 5, 17, entrySeeds() });
        add(SnapshotRequest { snapshotSeed(), 18 });
        add(AppendResponse { true, 12, 18 });
        add(RequestMessage { 77, ControlChange { "k", changeSeed() } });
        add(RequestMessage { 78, ControlMemberChange { true, InstanceId("d") } });
        add(RequestMessage { 79, ControlRead {} });
        add(ResponseMessage { 77, undecidedOutcome(Outcome::NotRun, Reason::NotLeader, "the leader is b"), nullptr });
        add(ResponseMessage { 79, { .outcome_ = Outcome::Done, .revision_ = 3, .decided_ = true },
            std::make_shared<const SettingsTree>(settingsSeed()) });
        return seeds;
    }

    std::vector<std::string> forwardSeeds()
    {
        ForwardRequest request;
        request.number_ = 12;
        request.endpoint_ = EndpointId("e");
        request.group_ = GroupId("g");
        request.term_ = 3;
        request.service_ = ServiceId("s");
        request.class_ = ClassId("c");
        request.weight_ = 4;
        request.statements_ = { "SET k v", "GET k" };
        request.key_ = "key-1";
        request.required_ = { 2, 9 };
        request.maxAge_ = std::chrono::milliseconds(2000);
        request.remaining_ = std::chrono::milliseconds(1500);
        request.transaction_ = "t1";
        request.operation_ = ForwardOperation::RunInTransaction;
        ForwardReply reply;
        reply.number_ = 12;
        reply.outcome_ = Outcome::NotRun;
        reply.reason_ = Reason::StaleTerm;
        reply.detail_ = "term 3";
        reply.answers_ = { "\"v\"", "null" };
        reply.position_ = { 3, 10 };
        reply.redirect_ = EndpointId("f");
        reply.routeTerm_ = 4;
        reply.routePrimary_ = EndpointId("f");
        return { encodeForward(request), encodeForward(reply), encodeForward(TreeRequest {}),
            encodeForward(TreeReply { settingsToJson(settingsSeed()) }) };
    }

    std::vector<std::string> membershipSeeds()
    {
        MembershipMessage message;
        message.number_ = 8;
        message.sender_
            = { InstanceId("a"), "127.0.0.1:7301", DataCentre("dc-a"), 5, 6, InstanceStatus::Alive, false, 7 };
        message.target_ = InstanceId("b");
        message.targetAddress_ = "127.0.0.1:7302";
        message.records_ = { message.sender_,
            EndpointRecord { EndpointId("e"), GroupId("g"), "127.0.0.1:9001", DataCentre("dc-a"), 2, 35,
                EndpointRole::Primary, 3, false, 1000, 17, false, true },
            DrainRecord { EndpointId("e"), 1000 }, RouteRecord { GroupId("g"), 3, EndpointId("e") },
            GroupMembersRecord { GroupId("g"), 2, { EndpointId("e"), EndpointId("f") } } };
        message.appliedRevisions_ = { { 7, { 1, 0xffffffff } } };
        std::vector<std::string> seeds;
        for (const auto kind : { MembershipMessageKind::Ping, MembershipMessageKind::Ack,
                 MembershipMessageKind::PingRequest, MembershipMessageKind::Announcement }) {
            message.kind_ = kind;
            seeds.push_back(encodeMembershipMessage(message));
        }
        message.kind_ = MembershipMessageKind::Digest;
        message.records_.clear();
        message.digest_.assign(digestBuckets, 0x80000001);
        seeds.push_back(encodeMembershipMessage(message));
        return seeds;
    }

    std::vector<std::string> envelopeSeeds()
    {
        std::vector<std::string> seeds;
        const auto add = [&](PeerMessageKind kind, const std::string& body) {
            seeds.push_back(encodePeerMessage({ InstanceId("a"), 5, "127.0.0.1:7301", kind, body }, deploymentKey));
        };
        add(PeerMessageKind::Control, controlSeeds().front());
        add(PeerMessageKind::Membership, membershipSeeds().front());
        add(PeerMessageKind::Forward, forwardSeeds().front());
        return seeds;
    }

    std::vector<std::string> requestSeeds()
    {
        std::vector<std::string> seeds;
        const auto add = [&](EndpointOperation operation) {
            seeds.push_back(encodeEndpointRequest({ seeds.size() + 1, std::move(operation) }));
        };
        add(HelloRequest { InstanceId("a") });
        add(RunRequest { 3, { "SET k v", "GET k" }, false, false, "key-1", { 2, 9 } });
        add(RunRequest { 3, { "GET k" }, true, true, "", {} });
        add(BeginRequest { 3 });
        add(CommitRequest { 3, "key-2" });
        add(RollbackRequest { 3 });
        add(LookupRequest { "key-1" });
        add(WatchRequest {});
        add(ReportRequest {});
        add(FenceRequest { 4, InstanceId("a") });
        add(PromoteRequest { 4, InstanceId("a") });
        add(FollowRequest { 4, InstanceId("a"), EndpointId("e"), "127.0.0.1:9001" });
        return seeds;
    }

    std::vector<std::string> answerSeeds()
    {
        std::vector<std::string> seeds;
        const auto add = [&](EndpointResult result) {
            seeds.push_back(encodeEndpointResponse({ seeds.size() + 1, std::move(result) }));
        };
        add(HelloResponse { EndpointId("e"), 17 });
        add(DoneResponse { { "\"v\"", "\xc3\xa9" }, { 3, 10 }, true });
        add(NotRunResponse { EndpointRefusal::StaleTerm, 4, "term 4 is promised" });
        add(PresentResponse { { "\"v\"" }, { 3, 10 } });
        add(AbsentResponse { 4, { 3, 10 } });
        add(EndpointReport { EndpointId("e"), EndpointRole::Primary, 4, { 3, 10 }, true, EndpointId("e") });
        return seeds;
    }

    std::vector<std::string> announcementSeeds()
    {
        EndpointAnnouncement announcement { EndpointId("e"), GroupId("g"), "127.0.0.1:9001", DataCentre("dc-a"), 2, 35,
            EndpointRole::Replica, 4, false, 1700000000000, 17 };
        std::vector<std::string> seeds { encodeEndpointAnnouncement(announcement) };
        announcement.role_ = EndpointRole::Primary;
        announcement.leaving_ = true;
        seeds.push_back(encodeEndpointAnnouncement(announcement));
        return seeds;
    }

    std::vector<std::string> tokenSeeds()
    {
        SessionState state { ServiceId("s"), {} };
        std::vector<std::string> seeds { encodeSessionToken(state, sessionKeys()).value() };
        recordWrite(state, GroupId("g"), { 3, 10 });
        recordRead(state, GroupId("h"), { 2, ~std::uint64_t { 0 } });
        seeds.push_back(encodeSessionToken(state, sessionKeys()).value());
        return seeds;
    }

    std::vector<std::string> processSettingsSeeds()
    {
        const std::string start = "instance: a\ndata_centre: dc-a\nlisten:\n  callers: 127.0.0.1:7001\n"
                                  "  operators: 127.0.0.1:7101\n  platform: 127.0.0.1:7201\n  peers: 127.0.0.1:7301\n"
                                  "deployment_key: 0123456789abcdef\noperator_credential: o\nplatform_credential: p\n";
        return { start,
            start
                + "peers: [127.0.0.1:7301, 127.0.0.1:7302]\ndata_folder: /tmp/data\nlog_level: debug\ncontrol:\n"
                  "  members:\n    - {instance: a, address: 127.0.0.1:7301}\n"
                  "limits:\n  max_callers: 10\n  receive_timeout_ms: 2000\nshutdown: {balancer_delay_ms: 0}\n"
                  "tree:\n  deadline: 3s\n  groups:\n    g: {size: 3}\n" };
    }

    /// A file that only this process writes; removed with the object.
    struct ScratchFile {
        std::string name_;

        ScratchFile()
        {
            static std::atomic<int> count { 0 };
            name_ = std::filesystem::temp_directory_path()
                / ("cassiahollow-fuzz-" + std::to_string(::getpid()) + "-" + std::to_string(++count) + ".yaml");
        }
        ScratchFile(const ScratchFile&) = delete;
        ScratchFile& operator=(const ScratchFile&) = delete;
        ~ScratchFile()
        {
            std::error_code ignored;
            std::filesystem::remove(name_, ignored);
        }
    };

    /// Loads the bytes as a settings file. The loader reports errors as a list and has no encoder.
    Verdict checkProcessSettings(const ScratchFile& file, const std::string& bytes)
    {
        std::ofstream(file.name_, std::ios::binary) << bytes;
        const auto loaded = loadProcessSettings(file.name_);
        if (loaded.errors_.empty())
            return { true, {} };
        for (const auto& error : loaded.errors_) {
            if (error.message_.empty() || error.line_ < 0)
                return fault("an error in a settings file has no message or no line");
        }
        if (describeErrors(file.name_, loaded.errors_).empty())
            return fault("the errors of a settings file have no description");
        return {};
    }

    std::vector<std::string> withoutCode(std::vector<std::string> envelopes)
    {
        for (auto& envelope : envelopes)
            envelope.erase(0, 32);
        return envelopes;
    }

    std::vector<std::string> payloads(std::vector<std::string> tokens)
    {
        for (auto& token : tokens)
            token = tokenPayload(std::move(token));
        return tokens;
    }

} // namespace

std::vector<Decoder> allDecoders()
{
    // The parser logs every text that is not UTF-8, which would hide the output of a failure.
    google::protobuf::SetLogHandler(nullptr);
    const auto peer = [](const std::string& bytes) { return decodePeerMessage(bytes, deploymentKey); };
    const auto signedPeer
        = [](const std::string& payload) { return decodePeerMessage(signedEnvelope(payload), deploymentKey); };
    const auto encodePeer = [](const PeerMessage& message) { return encodePeerMessage(message, deploymentKey); };
    const auto token = [](const std::string& text) { return decodeSessionToken(text, sessionKeys()); };
    const auto signedPayload
        = [](const std::string& payload) { return decodeSessionToken(signedToken(payload), sessionKeys()); };
    const auto encodeToken = [](const SessionState& state) { return encodeSessionToken(state, sessionKeys()).value(); };
    const auto snapshot
        = [](const std::shared_ptr<const ControlSnapshot>& value) { return encodeControlSnapshot(*value); };
    const auto file = std::make_shared<ScratchFile>();
    GroupVote vote { GroupId("g"), InstanceId("a"), EndpointId("e"), 3, true, 4 };
    GroupVote withdrawn { GroupId("g"), InstanceId("b"), {}, 4, false, 4 };
    PersistAction record { .truncateFrom_ = 1, .entries_ = entrySeeds(), .promise_ = ControlPromise { 4, "b-1" } };
    PersistAction promise { .promise_ = ControlPromise { 5, "" } };
    ControlSnapshot small { { 1, 1 }, { "y", { { InstanceId("c"), "c-1", true } } }, {} };
    std::vector<Decoder> decoders {
        { "peer-message", roundTrip(peer, encodePeer), envelopeSeeds() },
        { "signed-peer-message", roundTrip(signedPeer, encodePeer, peer), withoutCode(envelopeSeeds()) },
        { "forward", roundTrip(decodeForward, encodeForward), forwardSeeds() },
        { "membership", roundTrip(decodeMembershipMessage, encodeMembershipMessage), membershipSeeds() },
        { "group-vote", roundTrip(decodeGroupVote, encodeGroupVote),
            { encodeGroupVote(vote), encodeGroupVote(withdrawn) } },
        { "control-message", roundTrip(decodeControlMessage, encodeControlMessage), controlSeeds() },
        { "control-record", roundTrip(decodeControlRecord, encodeControlRecord),
            { encodeControlRecord(record), encodeControlRecord(promise) } },
        { "control-snapshot", roundTrip(decodeControlSnapshot, snapshot),
            { encodeControlSnapshot(*snapshotSeed()), encodeControlSnapshot(small) } },
        { "settings", roundTrip(decodeSettings, encodeSettings),
            { encodeSettings(settingsSeed()), encodeSettings({}) } },
        { "settings-json", roundTrip(settingsFromJson, settingsToJson),
            { settingsToJson(settingsSeed()), settingsToJson({}) } },
        { "settings-change-json", roundTrip(settingsChangeFromJson, settingsChangeToJson),
            { settingsChangeToJson(changeSeed()), settingsChangeToJson({}) } },
        { "settings-yaml", roundTrip(settingsFromYaml, settingsToJson, settingsFromJson),
            { startTree, "size: 3\nservices: {}\n" } },
        { "endpoint-request", roundTrip(decodeEndpointRequest, encodeEndpointRequest), requestSeeds() },
        { "endpoint-answer", roundTrip(decodeEndpointResponse, encodeEndpointResponse), answerSeeds() },
        { "endpoint-announcement", roundTrip(decodeEndpointAnnouncement, encodeEndpointAnnouncement),
            announcementSeeds() },
        { "session-token", roundTrip(token, encodeToken), tokenSeeds() },
        { "signed-session-token", roundTrip(signedPayload, encodeToken, token), payloads(tokenSeeds()) },
        { "process-settings", [file](const std::string& bytes) { return checkProcessSettings(*file, bytes); },
            processSettingsSeeds() },
    };
    for (auto& decoder : platformDecoders())
        decoders.push_back(std::move(decoder));
    return decoders;
}

Verdict checkInput(const Decoder& decoder, const std::string& bytes)
{
    try {
        return decoder.decode_(bytes);
    } catch (const std::exception& error) {
        return fault(std::string("exception: ") + error.what());
    }
}

} // namespace cassiahollow::fuzz
