#include "cassiahollow/process/Metrics.h"
#include "cassiahollow/version/SettingsTree.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <string>
#include <vector>

using namespace cassiahollow;

namespace {

using Cells = std::vector<std::string>;

std::string trimmed(const std::string& text)
{
    const auto begin = text.find_first_not_of(' ');
    return begin == std::string::npos ? std::string() : text.substr(begin, text.find_last_not_of(' ') - begin + 1);
}

/// The table rows of a page whose first cell is a name in backquotes, by that name.
std::multimap<std::string, Cells> rowsOf(const std::string& page)
{
    std::ifstream file(std::string(CASSIAHOLLOW_DOCS) + "/" + page);
    REQUIRE(file.is_open());
    std::multimap<std::string, Cells> rows;
    for (std::string line; std::getline(file, line);) {
        if (line.empty() || line.front() != '|')
            continue;
        Cells cells;
        for (std::size_t begin = 1; begin < line.size();) {
            const auto end = std::min(line.find('|', begin), line.size());
            cells.push_back(trimmed(line.substr(begin, end - begin)));
            begin = end + 1;
        }
        const std::string& first = cells.front();
        if (first.size() > 2 && first.front() == '`' && first.back() == '`')
            rows.emplace(first.substr(1, first.size() - 2), cells);
    }
    return rows;
}

} // namespace

// Guards against a reason that a person on call cannot look up, or that the page describes with a wrong outcome.
TEST_CASE("docs/reasons.md has one row for each reason, with its outcome")
{
    const auto rows = rowsOf("reasons.md");
    for (const auto& info : allReasons()) {
        const std::string name(info.name_);
        INFO(name);
        REQUIRE(rows.count(name) == 1);
        const Cells& cells = rows.find(name)->second;
        REQUIRE(cells.size() == 4);
        CHECK_FALSE(cells[1].empty());
        CHECK(cells[2] == outcomeName(info.outcome_));
        CHECK_FALSE(cells[3].empty());
    }
}

// Guards against a page that still describes a reason that is gone or has another name.
TEST_CASE("docs/reasons.md names no reason that does not exist")
{
    const auto& reasons = allReasons();
    for (const auto& row : rowsOf("reasons.md")) {
        INFO(row.first);
        CHECK(std::any_of(
            reasons.begin(), reasons.end(), [&](const ReasonInfo& info) { return info.name_ == row.first; }));
    }
}

// Guards against a counter or a histogram that a person on call cannot look up.
TEST_CASE("docs/metrics.md has one row for each counter and histogram")
{
    const auto rows = rowsOf("metrics.md");
    const auto isDescribed = [&](std::string_view name) {
        const std::string full = "cassiahollow_" + std::string(name);
        INFO(full);
        REQUIRE(rows.count(full) == 1);
        const Cells& cells = rows.find(full)->second;
        REQUIRE(cells.size() >= 2);
        CHECK_FALSE(cells[1].empty());
    };
    for (std::size_t i = 0; i < static_cast<std::size_t>(CounterId::Count); ++i)
        isDescribed(counterInfo(static_cast<CounterId>(i)).name_);
    for (std::size_t i = 0; i < static_cast<std::size_t>(HistogramId::Count); ++i)
        isDescribed(histogramInfo(static_cast<HistogramId>(i)).name_);
}

// Guards against a page that leaves out, or misnames, a metric that /v1/metrics serves.
TEST_CASE("docs/metrics.md and the rendered metrics name the same counters and histograms")
{
    Metrics metrics;
    metrics.countRequest(ServiceId("service"), ClassId("class"), Outcome::Done, 1);
    const std::string text = metrics.render();
    const auto rows = rowsOf("metrics.md");
    for (std::size_t at = text.find("# TYPE "); at != std::string::npos; at = text.find("# TYPE ", at + 1)) {
        const auto begin = at + std::string("# TYPE ").size();
        const std::string name = text.substr(begin, text.find(' ', begin) - begin);
        INFO(name);
        CHECK(rows.count(name) == 1);
    }
}

// Guards against a setting that operators cannot look up, or whose default on the page is wrong.
TEST_CASE("docs/settings.md has one row for each setting of the tree, with unit and default")
{
    const auto rows = rowsOf("settings.md");
    for (const auto& spec : knownSettings()) {
        const std::string name(spec.name_);
        INFO(name);
        REQUIRE(rows.count(name) == 1);
        const Cells& cells = rows.find(name)->second;
        REQUIRE(cells.size() == 7);
        if (!spec.unit_.empty())
            CHECK(cells[2] == spec.unit_);
        CHECK(cells[3] == (spec.default_.empty() ? "none" : "`" + std::string(spec.default_) + "`"));
        CHECK_FALSE(cells[5].empty());
    }
}
