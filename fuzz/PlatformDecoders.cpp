#include "PlatformDecoders.h"

#include "Documents.h"
#include "LineProtocol.h"
#include "cassiahollow/process/DirectoryFeed.h"
#include "cassiahollow/request/HolderProtocol.h"

#include <boost/leaf/handle_errors.hpp>

namespace cassiahollow::fuzz {

namespace leaf = boost::leaf;

namespace {

    const TimePoint now { std::chrono::hours(1) };

    Verdict fault(std::string what)
    {
        return { false, std::move(what) };
    }

    /// Runs a decoder that returns a result. `check` names the broken rule of an accepted value, or nothing.
    template <typename Decode, typename Check> Verdict decoded(Decode decode, Check check)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<Verdict> {
                BOOST_LEAF_AUTO(value, decode());
                const std::string broken = check(value);
                return Verdict { broken.empty(), broken };
            },
            [](const Failure& failure) {
                return failure.reason_ < Reason::Count ? Verdict {} : fault("a refusal has no reason");
            },
            [] { return fault("a refusal carries no Failure"); });
    }

    Verdict checkDirectory(const std::string& bytes)
    {
        return decoded([&] { return decodeDirectoryMessage(bytes, now); },
            [&](const DirectoryMessage& message) -> std::string {
                const auto again = encodeDirectoryMessage(message, now);
                bool isSame = false;
                decoded([&] { return decodeDirectoryMessage(again, now); },
                    [&](const DirectoryMessage& second) -> std::string {
                        isSame = encodeDirectoryMessage(second, now) == again;
                        return {};
                    });
                return isSame ? "" : "a directory message changes when it is passed on";
            });
    }

    Verdict checkHolderMessage(const std::string& bytes)
    {
        return decoded([&] { return decodeHolderMessage(bytes); },
            [&](const HolderMessage& message) -> std::string {
                const auto again = encodeHolderMessage(message);
                std::string second;
                decoded([&] { return decodeHolderMessage(std::string_view(again).substr(encodeFrame({}).size())); },
                    [&](const HolderMessage& same) -> std::string {
                        second = encodeHolderMessage(same);
                        return {};
                    });
                return second == again ? "" : "a holder message changes when it is passed on";
            });
    }

    Verdict checkPackedCatalog(const std::string& bytes)
    {
        return decoded(
            [&] {
                return unpackCatalog({ 1, bytes });
            },
            [](const CatalogDocument&) -> std::string { return {}; });
    }

    Verdict checkCatalogDocument(const std::string& bytes)
    {
        return decoded([&] { return platform::decodeCatalog(bytes); },
            [](const RouteCatalog& catalog) -> std::string {
                decoded(
                    [&]() -> leaf::result<int> {
                        BOOST_LEAF_CHECK(checkCatalog(catalog));
                        return 0;
                    },
                    [](int) -> std::string { return {}; });
                return {};
            });
    }

    Verdict checkHeartbeat(const std::string& bytes)
    {
        return decoded([&] { return platform::decodeHeartbeat("i-1", bytes, now, std::chrono::system_clock::now()); },
            [](const RegisteredEndpoint& record) -> std::string {
                return record.group_.empty() || record.slots_ == 0 ? "a heartbeat without group or slots is used" : "";
            });
    }

    // Messages as the protocol's page describes them, and what is left.
    std::vector<std::string> splitByPage(const std::string& bytes)
    {
        std::vector<std::string> parts { "" };
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            const bool isEnd = bytes[i] == '\r' && i + 1 < bytes.size() && bytes[i + 1] == '\n';
            if (isEnd) {
                parts.emplace_back();
                ++i;
            } else {
                parts.back() += bytes[i];
            }
        }
        return parts;
    }

    // The first byte is the size of the parts in which the others arrive.
    Verdict checkFraming(const std::string& bytes)
    {
        if (bytes.empty())
            return {};
        const auto partSize = 1 + static_cast<std::size_t>(static_cast<unsigned char>(bytes.front()));
        const auto stream = bytes.substr(1);
        platform::LineReader reader;
        std::vector<std::string> messages;
        std::string unread;
        for (std::size_t start = 0; start < stream.size(); start += partSize) {
            unread += stream.substr(start, partSize);
            std::size_t taken = 0;
            while (const auto message = reader.take(unread, taken))
                messages.emplace_back(*message);
            unread.erase(0, taken);
        }
        messages.push_back(unread);
        if (messages != splitByPage(stream))
            return fault("messages are not split as the protocol says");
        return { messages.size() > 1, {} };
    }

    Verdict checkClientLine(const std::string& bytes)
    {
        if (bytes.find("\r\n") != std::string::npos)
            return {}; // No message holds its own end.
        const auto message = platform::decodeClientLine(bytes);
        if (std::holds_alternative<platform::ClientMalformed>(message))
            return {};
        if (const auto* query = std::get_if<platform::ClientQuery>(&message)) {
            if (query->id_.empty() || query->id_ == "-")
                return fault("a client speaks with the instance's own id");
            if (query->statement_.kind_ == StatementKind::Malformed)
                return {};
            if (platform::encodeQuery(query->id_, query->statement_.text_) != bytes + "\r\n")
                return fault("a statement that is passed on is not the same bytes");
            return { true, {} };
        }
        return { true, {} };
    }

    Verdict checkEndpointLine(const std::string& bytes)
    {
        if (bytes.find("\r\n") != std::string::npos)
            return {};
        const auto message = platform::decodeEndpointLine(bytes);
        if (const auto* row = std::get_if<platform::EndpointRow>(&message)) {
            const auto again = platform::encodeResult({ row->text_ }, platform::unsignedAnswer);
            if (again != "DATAROW " + row->text_ + "\r\nCOMPLETE -\r\n" || !bytes.ends_with(row->text_))
                return fault("a row that is passed on is not the same bytes");
        }
        if (const auto* error = std::get_if<platform::EndpointError>(&message)) {
            const bool isKnown = platform::encodeError(error->error_, "").starts_with("ERROR " + error->word_);
            if (!isKnown && guaranteesNoEffect(error->error_))
                return fault("an unknown code became a promise");
        }
        return { !std::holds_alternative<platform::EndpointMalformed>(message), {} };
    }

    Verdict checkStatusRow(const std::string& bytes)
    {
        return { platform::decodeStatus(bytes).has_value(), {} };
    }

    RegisteredEndpoint recordSeed()
    {
        RegisteredEndpoint record;
        record.id_ = EndpointId("i-1");
        record.group_ = GroupId("returns");
        record.address_ = "10.0.0.1:80";
        record.receivedAt_ = now;
        record.roleSince_ = now;
        return record;
    }

    std::vector<std::string> directorySeeds()
    {
        FeedResponse answer;
        answer.catalog_ = std::make_shared<const PackedCatalog>(packCatalog({ 3, "{}" }));
        answer.records_ = { recordSeed() };
        answer.members_ = { InstanceId("a") };
        answer.samples_ = { { GroupId("returns"), { 1, 2 }, std::chrono::milliseconds(5) } };
        return { encodeDirectoryMessage(answer, now),
            encodeDirectoryMessage(FeedRequest { 1, 2, "m", true, false, { { EndpointId("i-1") } } }, now),
            encodeDirectoryMessage(RegistryUpdate { { recordSeed() }, true, false, { InstanceId("b") } }, now),
            encodeDirectoryMessage(ReportRelay { InstanceId("b"), { { EndpointId("i-1") } } }, now),
            encodeDirectoryMessage(LeaseRequest { 1, { 2, 3 }, { 2, 2 } }, now),
            encodeDirectoryMessage(LeaseResponse { 1,
                                       { { 2, 3 }, std::chrono::milliseconds(20),
                                           LeaseTable { { 2, 3 }, { { GroupId("returns"), EndpointId("i-1") } } } } },
                now) };
    }

    std::vector<std::string> holderSeeds()
    {
        StatementRequest request { .operation_ = 1, .number_ = 1, .id_ = "5c", .text_ = "WRITE 1a4 x" };
        request.kind_ = StatementKind::Write;
        request.shape_ = PreparedShape { "q2c", true };
        request.values_ = { { "a", "b" } };
        std::vector<std::string> seeds;
        for (const HolderMessage& message : std::initializer_list<HolderMessage> { request, OperationEnd { 1 },
                 StatementReply { .number_ = 1, .rows_ = { "x" }, .signature_ = "7.1" }, HolderProbe { GroupId("g") },
                 HolderProbeReply { GroupId("g"), true }, QuotaRequest { AccountId("a"), 1, 2, 3 },
                 QuotaGrant { AccountId("a"), 1, 2 }, LoanRequest { AccountId("a"), 1, 2 },
                 QuotaLoan { AccountId("a"), 1, 2 }, QuotaHandover { AccountId("a"), 2 } })
            seeds.push_back(encodeHolderMessage(message).substr(encodeFrame({}).size()));
        return seeds;
    }

    std::vector<std::string> catalogSeeds()
    {
        return { R"({"Version":7,"Routes":[{"Name":"r","Host":"v","PathPrefix":"/","Type":"primary","TimeoutMs":800,)"
                 R"("TargetLatencyMs":250,"Priority":2,"Service":"s","MaxStalenessMs":2500}],)"
                 R"("Services":[{"Name":"s","MaxConns":82,"SyncReplicas":1}],"Limits":{"IdleTxMs":3000}})",
            R"({"Version":1,"Routes":[],"Services":[]})" };
    }

    std::vector<std::string> heartbeatSeeds()
    {
        return { R"({"Service":"s","Address":"10.0.0.9:80","Zone":"a","Version":"v1","Slots":3,"State":"ready",)"
                 R"("WarmupLeftMs":0,"DbRole":"replica","Seq":4,"born":1700000000000})",
            R"({"Service":"s","Address":"10.0.0.9:1","Zone":"a","Version":"v2","Slots":1,"State":"draining",)"
            R"("WarmupLeftMs":9000,"DbRole":"primary","Seq":1})" };
    }

} // namespace

std::vector<Decoder> platformDecoders()
{
    return {
        { "directory-message", checkDirectory, directorySeeds() },
        { "holder-message", checkHolderMessage, holderSeeds() },
        { "packed-catalog", checkPackedCatalog,
            { packCatalog({ 1, "{}" }).bytes_, packCatalog({ 1, std::string(3000, 'x') }).bytes_ } },
        { "platform-catalog", checkCatalogDocument, catalogSeeds() },
        { "platform-heartbeat", checkHeartbeat, heartbeatSeeds() },
        { "framing", checkFraming,
            { std::string("\x02") + "READY I -\r\nDATAROW x\ny\r\r\nCOMPLETE -\r\n",
                "\x7fQUERY 5c WRITE a \r\nQUERY 5d READ a\r\n" } },
        { "client-line", checkClientLine,
            { "STARTUP verdicts u1", "QUERY 5c BEGIN READ", "QUERY 5c WRITE 1a4 data", "QUERY 5c PREPARE s1 WRITE q2c",
                "QUERY 5c EXECUTE s1 1a4 data", "QUERY 5c SET a b", "TERMINATE" } },
        { "endpoint-line", checkEndpointLine,
            { "READY T 3.1209", "READY I -", "DATAROW qhz", "COMPLETE 7.1f3.c", "ERROR READONLY i-7f3a" } },
        { "status-row", checkStatusRow, { "replica 3 3.1209 4 12 2 17", "primary 1 1.0 1 0 0 0" } },
    };
}

} // namespace cassiahollow::fuzz
