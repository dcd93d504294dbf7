#include "process/EventLog.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

// Standard output as a pipe that the test reads, or does not read.
class CapturedOutput {
public:
    CapturedOutput()
        : saved_(dup(STDOUT_FILENO))
    {
        int ends[2];
        REQUIRE(pipe(ends) == 0);
        reader_ = ends[0];
        fcntl(reader_, F_SETFL, O_NONBLOCK);
        dup2(ends[1], STDOUT_FILENO);
        close(ends[1]);
    }
    ~CapturedOutput()
    {
        dup2(saved_, STDOUT_FILENO);
        close(saved_);
        close(reader_);
    }
    std::string read()
    {
        std::string text;
        char buffer[65536];
        for (ssize_t size; (size = ::read(reader_, buffer, sizeof(buffer))) > 0;)
            text.append(buffer, static_cast<std::size_t>(size));
        return text;
    }

private:
    int saved_;
    int reader_ { -1 };
};

void startOnce()
{
    static const bool started = (startEventLog("front-1"), true);
    // The pipe of each test has to be non-blocking as well.
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    (void)started;
}

std::size_t linesOf(const std::string& text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

// Guards against a line that cannot be found by its request, or that a value breaks in two.
TEST_CASE("a line names kind, event, instance and the fields given")
{
    std::string text;
    {
        CapturedOutput output;
        startOnce();
        LogLine(LogKind::Refusal, "queue_full")
            .with("request", "5c0e")
            .with("detail", "two words\nand \"quotes\"")
            .with("waiting", std::uint64_t(7))
            .with("waited", 12500us);
        text = output.read();
    }
    CHECK(linesOf(text) == 1);
    CHECK(text.find("kind=refusal event=queue_full instance=front-1 request=5c0e") != std::string::npos);
    CHECK(text.find("detail=\"two words'and 'quotes'\" waiting=7 waited=12.5ms") != std::string::npos);
    CHECK(text.starts_with("ts=20"));
}

// Guards against a flood of one kind that costs the processor or hides other kinds.
TEST_CASE("each kind has a budget, and what it suppresses is counted")
{
    std::string text;
    const auto before = droppedLogLines();
    {
        CapturedOutput output;
        startOnce();
        for (int i = 0; i < 10'000; ++i)
            LogLine(LogKind::Retry, "again").with("request", "5c0e");
        LogLine(LogKind::Uncertain, "in_doubt").with("request", "77aa");
        text = output.read();
    }
    CHECK(linesOf(text) <= 100);
    CHECK(text.find("request=77aa") != std::string::npos);
    CHECK(droppedLogLines() - before >= 9'900);
}

// Guards against a reader of the log that stops a task.
TEST_CASE("a reader that does not read blocks nobody")
{
    CapturedOutput output;
    startOnce();
    const std::string filler(4000, 'x');
    std::string fill(60'000, 'y');
    while (write(STDOUT_FILENO, fill.data(), fill.size()) > 0) { }
    const auto before = droppedLogLines();
    const auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < 40; ++i)
        LogLine(LogKind::Promotion, "step").with("filler", filler);
    CHECK(std::chrono::steady_clock::now() - begun < 1s);
    CHECK(droppedLogLines() - before >= 30);
}
