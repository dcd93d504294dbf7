#include "support/GroupMatrix.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace cassiahollow;
using namespace cassiahollow::fake;

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint32_t pairsPerPath = 300;
constexpr std::size_t stride = 5; ///< Every fifth single cell; the release run takes all.
#else
constexpr std::uint32_t pairsPerPath = 2000;
constexpr std::size_t stride = 1;
#endif

std::vector<Cell> pairCells(Path path, std::uint32_t count)
{
    const auto steps = stepsOf(path);
    std::vector<Cell> cells;
    for (std::uint32_t seed = 1; seed <= count; ++seed)
        cells.push_back(pairCell(path, steps, seed));
    return cells;
}

std::vector<Cell> thin(const std::vector<Cell>& all)
{
    std::vector<Cell> cells;
    for (std::size_t i = 0; i < all.size(); i += stride)
        cells.push_back(all[i]);
    return cells;
}

void checkAll(const std::string& name, const std::vector<Cell>& cells)
{
    const auto started = std::chrono::steady_clock::now();
    const auto result = runMatrix(cells);
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - started;
    std::cout << name << ": " << result.cells_ << " cells, " << result.injected_ << " with a fault, "
              << static_cast<int>(static_cast<double>(result.cells_) / taken.count()) << " cells/s, longest recovery "
              << std::chrono::duration_cast<std::chrono::milliseconds>(result.longestRecovery_).count() << " ms\n";
    for (const auto& [cell, violation] : result.violations_)
        std::cout << "  violation " << static_cast<int>(violation) << ": " << describe(cell) << '\n';
    CHECK(result.violations_.empty());
    REQUIRE(result.cells_ == cells.size());
    // A matrix whose faults do not occur proves nothing.
    REQUIRE(result.injected_ == result.cells_);
}

/// Runs paths until the wrong rule shows as `violation`.
bool isFound(WrongRule rule, Violation violation, const std::vector<Path>& paths)
{
    std::size_t cells = 0;
    for (const auto path : paths) {
        const auto result = runMatrix(pairCells(path, 3000), rule, violation);
        cells += result.cells_;
        for (const auto& [cell, seen] : result.violations_) {
            if (seen != violation)
                continue;
            std::cout << "wrong rule " << static_cast<int>(rule) << " found after " << cells
                      << " cells: " << describe(cell) << '\n';
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against every single fault that breaks a guarantee of the groups: lost or wrongly acknowledged writes, two
// primaries in a term, a group that takes no writes 16 s after the fault has healed.
TEST_CASE("each fault at each step")
{
    for (const auto path : allPaths)
        checkAll("once, path " + std::to_string(static_cast<int>(path)), thin(singleCells(path, false)));
}

// Guards against rules that cope with a fault only once.
TEST_CASE("each fault at each step, twice")
{
    for (const auto path : allPaths)
        checkAll("twice, path " + std::to_string(static_cast<int>(path)), thin(singleCells(path, true)));
}

// Guards against faults that break a guarantee only together. The seeds 1 to n are the recorded ones.
TEST_CASE("pairs of faults")
{
    for (const auto path : allPaths)
        checkAll("pairs, path " + std::to_string(static_cast<int>(path)), pairCells(path, pairsPerPath));
}

// Guards against a matrix that cannot see a lost write or a write acknowledged without a majority.
TEST_CASE("the matrix finds acknowledgement without confirmation")
{
    REQUIRE(isFound(WrongRule::AcknowledgeAtOnce, Violation::AcknowledgedWriteLost, { Path::Promotion }));
    REQUIRE(isFound(WrongRule::AcknowledgeAtOnce, Violation::OldPrimaryAcknowledged, { Path::Promotion }));
}

// Guards against a matrix that cannot see a primary that confirms its own writes.
TEST_CASE("the matrix finds a primary that is counted twice")
{
    REQUIRE(isFound(WrongRule::CountPrimaryTwice, Violation::AcknowledgedWriteLost, { Path::Promotion }));
    REQUIRE(isFound(WrongRule::CountPrimaryTwice, Violation::OldPrimaryAcknowledged, { Path::Promotion }));
}

// Guards against a matrix that cannot see the wrong choice of a primary.
TEST_CASE("the matrix finds the promotion of the first replica")
{
    REQUIRE(isFound(WrongRule::PromoteFirst, Violation::AcknowledgedWriteLost, { Path::Promotion }));
}

// Guards against a matrix that cannot see an old primary whose longer log of a lower term wins.
TEST_CASE("the matrix finds positions compared without terms")
{
    REQUIRE(isFound(WrongRule::CompareWithoutTerms, Violation::AcknowledgedWriteLost,
        { Path::Promotion, Path::FirstPromotion, Path::PlannedChange }));
}

// Guards against a matrix that cannot see two primaries in a term.
TEST_CASE("the matrix finds members that obey several promoters in a term")
{
    REQUIRE(isFound(WrongRule::SeveralPromoters, Violation::TwoPrimaries, { Path::CompetingPromoters }));
}

// Guards against a matrix that cannot see a group that stays without writes.
TEST_CASE("the matrix finds a promotion interval that is too long")
{
    REQUIRE(isFound(WrongRule::LongInterval, Violation::NoRecovery, { Path::Promotion }));
}
