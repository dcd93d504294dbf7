// Size of the settings tree and processor time of a change, of its transfer and of its application, by number of nodes.

#include "cassiahollow/version/SettingsTree.h"

#include <ctime>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <string>

DEFINE_uint32(repeats, 20, "runs of each step; the average is printed");

namespace {

using namespace cassiahollow;

/// Processor time of this process in ms. Elapsed time would depend on the load of the machine.
double processorMilliseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

template <typename Step> double averageTime(Step step)
{
    const auto start = processorMilliseconds();
    for (std::uint32_t i = 0; i < FLAGS_repeats; ++i)
        step();
    return (processorMilliseconds() - start) / FLAGS_repeats;
}

/// A tree of services with nine classes each, so ten nodes a service besides the root.
SettingsTree treeOf(std::size_t nodes)
{
    SettingsTree tree;
    for (std::size_t i = 0; tree.nodes_.size() < nodes; ++i) {
        const auto service = "/services/service-" + std::to_string(i);
        tree.nodes_[service]["group"] = "group-" + std::to_string(i);
        for (int c = 0; c < 9 && tree.nodes_.size() < nodes; ++c)
            tree.nodes_[service + "/classes/class-" + std::to_string(c)]["weight"] = std::int64_t { c + 1 };
    }
    return tree;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    std::cout << "nodes, JSON bytes, change ms, to JSON ms, from JSON ms, accept ms\n"
              << std::fixed << std::setprecision(3);
    for (const std::size_t nodes : { 10, 100, 1'000, 10'000 }) {
        const auto tree = treeOf(nodes);
        const SettingsChange change { tree.revision_,
            { { SettingsOperation::Kind::Set, "/services/service-0/classes/class-0", "weight", "7" } } };
        const auto text = settingsToJson(tree);
        bool isValid = true;
        const auto changing
            = averageTime([&] { isValid = isValid && applySettingsChange(tree, change, "key").has_value(); });
        const auto writing = averageTime([&] { isValid = isValid && settingsToJson(tree).size() == text.size(); });
        const auto reading = averageTime([&] { isValid = isValid && settingsFromJson(text).has_value(); });
        auto offered = tree;
        offered.revision_ = tree.revision_ + 1;
        const auto accepting = averageTime([&] {
            auto applied = tree; // The copy is part of the time.
            isValid = isValid && acceptSettings(applied, offered);
        });
        if (!isValid) {
            std::cerr << "a step failed at " << nodes << " nodes\n";
            return 1;
        }
        std::cout << nodes << ", " << text.size() << ", " << changing << ", " << writing << ", " << reading << ", "
                  << accepting << '\n';
    }
}
