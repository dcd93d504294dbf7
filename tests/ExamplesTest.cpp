#include "cassiahollow/version/SettingsTree.h"
#include "process/ProcessSettings.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace cassiahollow;

namespace {

ProcessSettings load(const std::string& name)
{
    const std::string fileName = std::string(CASSIAHOLLOW_EXAMPLES) + "/" + name;
    const SettingsFile file = loadProcessSettings(fileName);
    INFO(describeErrors(fileName, file.errors_));
    REQUIRE(file.errors_.empty());
    return file.settings_;
}

SettingsTree treeOf(const ProcessSettings& settings)
{
    return boost::leaf::try_handle_all([&] { return settingsFromYaml(settings.startTree_); },
        [](const Failure& failure) -> SettingsTree {
            FAIL(failureMessage(failure));
            return {};
        },
        []() -> SettingsTree {
            FAIL("unknown error");
            return {};
        });
}

ClassSettings classOf(const SettingsTree& tree, const char* service, const char* requestClass)
{
    const auto found = classSettings(tree, ServiceId(service), ClassId(requestClass));
    REQUIRE(found);
    return *found;
}

} // namespace

// Guards against an example that an operator copies and that `cassiahollow check` then refuses.
TEST_CASE("the example settings of both users have no errors")
{
    for (const char* name : { "returns.yaml", "register.yaml" }) {
        INFO(name);
        const SettingsTree tree = treeOf(load(name));
        CHECK(servicesOf(tree).size() == 3);
        std::set<ClassId> classes;
        for (const auto& service : servicesOf(tree)) {
            const auto settings = serviceSettings(tree, service);
            REQUIRE(settings);
            CHECK(groupSettings(tree, settings->group_).size_ == 3);
            for (const auto& requestClass : classesOf(tree, service))
                CHECK(classes.insert(requestClass).second); // The admission queue knows classes by name only.
        }
    }
}

// Guards against examples in which a bulk class takes the slots of the classes that people wait for.
TEST_CASE("urgent classes have the greatest weight")
{
    const SettingsTree returns = treeOf(load("returns.yaml"));
    const auto hazard = classOf(returns, "verdicts", "hazard-verdict");
    CHECK(hazard.urgent_);
    CHECK(hazard.weight_ > classOf(returns, "verdicts", "verdict").weight_);
    CHECK(hazard.weight_ > classOf(returns, "histories", "return-history").weight_);
    CHECK(hazard.weight_ > classOf(returns, "receipts", "shipment-receipt").weight_);

    const SettingsTree registerTree = treeOf(load("register.yaml"));
    const auto booking = classOf(registerTree, "bookings", "booking-confirmation");
    CHECK(booking.urgent_);
    CHECK(booking.weight_ > classOf(registerTree, "availability", "availability-look-up").weight_);
    CHECK(booking.weight_ > classOf(registerTree, "inspections", "inspection-note").weight_);
}

// Guards against look-ups that may not use a slightly old replica, which loads the primaries of the register.
TEST_CASE("availability look-ups accept a small age")
{
    const auto lookUp = classOf(treeOf(load("register.yaml")), "availability", "availability-look-up");
    CHECK(lookUp.maxAge_ > std::chrono::milliseconds::zero());
    CHECK(lookUp.maxAge_ <= std::chrono::seconds(1));
}
