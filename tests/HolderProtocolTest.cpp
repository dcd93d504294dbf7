#include "cassiahollow/request/HolderProtocol.h"
#include "cassiahollow/process/Reasons.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

std::optional<HolderMessage> decoded(std::string_view frame)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<HolderMessage>> {
            std::size_t offset = 0;
            BOOST_LEAF_AUTO(bytes, takeFrame(frame, offset));
            if (!bytes)
                return std::optional<HolderMessage>();
            BOOST_LEAF_AUTO(message, decodeHolderMessage(*bytes));
            return std::optional(std::move(message));
        },
        [](const Failure& failure) {
            CHECK(failure.reason_ == Reason::MessageMalformed);
            return std::optional<HolderMessage>();
        },
        [] { return std::optional<HolderMessage>(); });
}

StatementRequest request()
{
    StatementRequest request {
        .operation_ = 3, .number_ = 4, .id_ = "5c0e", .text_ = std::string("EXECUTE s1 \xff\x00x", 14)
    };
    request.kind_ = StatementKind::Write;
    request.opensTransaction_ = true;
    request.readOnly_ = true;
    request.age_ = 1500us;
    request.operationAge_ = 2500us;
    request.shape_ = PreparedShape { "q2c", true };
    request.route_ = { "r", "verdicts", "", GroupId("returns"), Consistency::ReadYourWrites, 800ms, 250ms, 2500ms, 2 };
    request.catalogVersion_ = 17;
    request.idleTransaction_ = 3s;
    request.ownCommit_ = { 3, 99 };
    request.ownCommitAge_ = 40ms;
    request.values_ = { { "a", "1" }, { "b", "" } };
    request.account_ = AccountId("ovens");
    return request;
}

} // namespace

TEST_CASE("a statement arrives at its holder unchanged")
{
    const auto sent = request();
    const auto message = decoded(encodeHolderMessage(sent));
    REQUIRE(message);
    const auto& arrived = std::get<StatementRequest>(*message);
    CHECK(arrived.operation_ == 3);
    CHECK(arrived.number_ == 4);
    CHECK(arrived.id_ == sent.id_);
    CHECK(arrived.text_ == sent.text_);
    CHECK(arrived.kind_ == sent.kind_);
    CHECK(arrived.opensTransaction_);
    CHECK(arrived.readOnly_);
    CHECK(arrived.age_ == sent.age_);
    CHECK(arrived.operationAge_ == sent.operationAge_);
    CHECK(arrived.shape_ == sent.shape_);
    CHECK(arrived.route_ == sent.route_);
    CHECK(arrived.catalogVersion_ == 17);
    CHECK(arrived.idleTransaction_ == sent.idleTransaction_);
    CHECK(arrived.ownCommit_ == sent.ownCommit_);
    CHECK(arrived.ownCommitAge_ == sent.ownCommitAge_);
    CHECK(arrived.values_ == sent.values_);
    CHECK(arrived.account_ == sent.account_);
}

// Guards against an instance that refuses the statements of instances that still run a version without accounts.
TEST_CASE("a statement of an earlier version has no account")
{
    auto fields = nlohmann::json::from_msgpack(encodeHolderMessage(request()).substr(4));
    fields.erase(fields.size() - 1);
    std::string bytes;
    nlohmann::json::to_msgpack(fields, bytes);
    const auto message = decoded(encodeFrame(bytes));
    REQUIRE(message);
    CHECK(std::get<StatementRequest>(*message).account_.empty());
    CHECK(std::get<StatementRequest>(*message).values_ == request().values_);
}

TEST_CASE("a reply arrives whole")
{
    const StatementReply sent { 9, std::nullopt, "", { "row one", "" }, "7.1f3", { 3, 100 }, true, true };
    const auto message = decoded(encodeHolderMessage(sent));
    REQUIRE(message);
    const auto& arrived = std::get<StatementReply>(*message);
    CHECK(arrived.number_ == 9);
    CHECK(arrived.rows_ == sent.rows_);
    CHECK(arrived.signature_ == sent.signature_);
    CHECK(arrived.position_ == sent.position_);
    CHECK(arrived.isTransactionOpen_);
    CHECK(arrived.isPrimaryUnreachable_);
    const auto refused = decoded(
        encodeHolderMessage(StatementReply { .number_ = 9, .error_ = StatementError::InDoubt, .errorText_ = "text" }));
    REQUIRE(refused);
    CHECK(std::get<StatementReply>(*refused).error_ == StatementError::InDoubt);
    CHECK(std::get<StatementReply>(*refused).errorText_ == "text");
    CHECK(std::get<OperationEnd>(*decoded(encodeHolderMessage(OperationEnd { 5 }))).operation_ == 5);
    CHECK(std::holds_alternative<HolderLeaving>(*decoded(encodeHolderMessage(HolderLeaving {}))));
    CHECK(std::get<HolderProbe>(*decoded(encodeHolderMessage(HolderProbe { GroupId("g") }))).group_ == GroupId("g"));
    CHECK(std::get<HolderProbeReply>(*decoded(encodeHolderMessage(HolderProbeReply { GroupId("g"), true })))
              .isPrimaryUnreachable_);
}

// Guards against tokens or account names that change on their way, and against counts that no instance sends.
TEST_CASE("messages about quotas arrive whole")
{
    const auto check = [](const auto& sent) {
        const auto message = decoded(encodeHolderMessage(sent));
        REQUIRE(message);
        const auto* arrived = std::get_if<std::decay_t<decltype(sent)>>(&*message);
        REQUIRE(arrived);
        CHECK(*arrived == sent);
    };
    const AccountId account("shop");
    check(QuotaRequest { account, 7, 3, 20 });
    check(QuotaGrant { account, 7, 12, 30ms, false });
    check(QuotaGrant { account, 7, 0, 0ms, true });
    check(LoanRequest { account, 8, 5 });
    check(QuotaLoan { account, 8, 4, 250us, false });
    check(QuotaHandover { account, 6 });
    CHECK_FALSE(decoded(encodeHolderMessage(QuotaLoan { account, 8, maximumQuotaTokens + 1, 0ms, false })));
    CHECK_FALSE(decoded(encodeHolderMessage(QuotaHandover { AccountId(), 1 })));
}

// Guards against an answer that is taken for a success without the database's signature.
TEST_CASE("a reply with neither or both of an error and a signature is refused")
{
    CHECK_FALSE(decoded(encodeHolderMessage(StatementReply { .number_ = 1 })));
    CHECK_FALSE(decoded(
        encodeHolderMessage(StatementReply { .number_ = 1, .error_ = StatementError::Failed, .signature_ = "7.1" })));
}

TEST_CASE("what is cut short, too long or out of range is refused")
{
    const auto frame = encodeHolderMessage(request());
    for (std::size_t size = 0; size < frame.size(); ++size)
        CHECK_FALSE(decoded(std::string_view(frame).substr(0, size)));
    CHECK_FALSE(decoded(std::string("\xff\xff\xff\x7f", 4)));
    for (std::size_t size = 5; size < frame.size(); ++size)
        CHECK_FALSE(decoded(encodeFrame(std::string_view(frame).substr(4, size - 5))));
    // Each byte opens another array.
    CHECK_FALSE(decoded(encodeFrame(std::string(1 << 20, '\x91'))));
    auto other = request();
    other.kind_ = StatementKind::Begin;
    CHECK_FALSE(decoded(encodeHolderMessage(other)));
    other = request();
    other.id_.clear();
    CHECK_FALSE(decoded(encodeHolderMessage(other)));
}

TEST_CASE("several messages in one buffer are taken one by one")
{
    const auto buffer = encodeHolderMessage(OperationEnd { 1 }) + encodeHolderMessage(OperationEnd { 2 }) + "x";
    std::size_t offset = 0;
    int taken = 0;
    const auto count = [&]() -> boost::leaf::result<void> {
        for (;;) {
            BOOST_LEAF_AUTO(frame, takeFrame(buffer, offset));
            if (!frame)
                return {};
            ++taken;
        }
    };
    CHECK(count());
    CHECK(taken == 2);
    CHECK(offset == buffer.size() - 1);
}
