#include "process/DirectoryStore.h"

#include "support/FileSizeLimit.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

/// A folder of its own, removed at the end.
struct Folder {
    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "cassiahollow-directory-XXXXXX").string();
        path_ = mkdtemp(name.data());
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    std::filesystem::path path_;
};

} // namespace

// Guards against a restarted control member that cannot feed entry instances, or takes the first few for all.
TEST_CASE("a copy of the directory holds records, catalog and instances")
{
    const Folder folder;
    const TimePoint now { 1h };
    EndpointRegistry registry;
    RegisteredEndpoint record;
    record.id_ = EndpointId("i-1");
    record.group_ = GroupId("returns");
    record.address_ = "127.0.0.1:1";
    record.startedAtMs_ = 5;
    record.receivedAt_ = now;
    mergeRecord(registry, record);
    const auto packed = std::make_shared<const PackedCatalog>(packCatalog({ 7, "{\"Version\":7}" }));
    DirectoryStore store(folder.path_ / "directory");
    CHECK(store.load(now).records_.empty());
    store.save(registry, packed, 106, { InstanceId("10.1.0.1:7"), InstanceId("10.1.0.2:7") }, now);
    DirectoryCopy copy;
    for (int i = 0; i < 500 && copy.records_.empty(); ++i) {
        std::this_thread::sleep_for(10ms);
        copy = store.load(now + 1h);
    }
    REQUIRE(copy.records_.size() == 1);
    CHECK(copy.records_[0].id_ == EndpointId("i-1"));
    CHECK(copy.records_[0].receivedAt_ == now + 1h);
    REQUIRE(copy.catalog_);
    CHECK(copy.catalog_->version_ == 7);
    CHECK(copy.catalog_->document_ == "{\"Version\":7}");
    CHECK(copy.instances_ == 106);
    CHECK(copy.neighbours_ == std::vector { InstanceId("10.1.0.1:7"), InstanceId("10.1.0.2:7") });
}

// Guards against a member that does not start, or starts with half a directory, because of a torn copy.
TEST_CASE("a copy that cannot be read counts as none")
{
    const Folder folder;
    std::ofstream(folder.path_ / "directory") << "not a copy";
    const DirectoryStore store(folder.path_ / "directory");
    const auto copy = store.load(TimePoint { 1h });
    CHECK(copy.records_.empty());
    CHECK_FALSE(copy.catalog_);
    CHECK(copy.instances_ == 0);
}

// Guards against a copy that stays old after the disk was full: no later change has to come.
TEST_CASE("a copy that could not be written is written once the disk has space")
{
    const Folder folder;
    const TimePoint now { 1h };
    DirectoryStore store(folder.path_ / "directory");
    const auto waitFor = [](const auto& holds) {
        for (int i = 0; i < 500 && !holds(); ++i)
            std::this_thread::sleep_for(10ms);
        return holds();
    };
    {
        const fake::FileSizeLimit limit(0);
        store.save({}, std::make_shared<const PackedCatalog>(packCatalog({ 8, "{\"Version\":8}" })), 13, {}, now);
        // The attempt that fails leaves its temporary file.
        REQUIRE(waitFor([&] { return std::filesystem::exists(folder.path_ / "directory.new"); }));
        std::this_thread::sleep_for(50ms);
    }
    REQUIRE(waitFor([&] { return store.load(now).catalog_.has_value(); }));
    CHECK(store.load(now).catalog_->version_ == 8);
}
