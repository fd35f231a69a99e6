// A log whose reader is slow, stopped or closed.
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include "linewriter.h"

namespace godwitfall {
namespace {

/** A pipe whose ends are closed at the end of the test. */
class Pipe
{
public:
    Pipe()
    {
        std::signal(SIGPIPE, SIG_IGN);
        EXPECT_EQ(pipe(this->ends.data()), 0);
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        this->closeReader();
        close(this->ends[1]);
    }

    int writer() const { return this->ends[1]; }

    void closeReader()
    {
        if (this->ends[0] >= 0) {
            close(this->ends[0]);
            this->ends[0] = -1;
        }
    }

    /** Reads all available bytes. */
    std::string read() const
    {
        std::string text;
        std::array<char, 65536> buffer{};
        ssize_t count = 0;
        while ((count = ::read(this->ends[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    std::array<int, 2> ends{-1, -1};
};

TEST(LineWriterTest, KeepsLineOrder)
{
    const Pipe pipe;
    LineWriter writer(pipe.writer());
    writer.write("a=1");
    writer.write("b=2");
    EXPECT_EQ(pipe.read(), "a=1\nb=2\n");
    EXPECT_EQ(writer.dropped(), 0U);
}

TEST(LineWriterTest, DropsOldestLinesInsteadOfBlocking)
{
    constexpr int lines = 20000;
    const Pipe pipe;
    LineWriter writer(pipe.writer());
    const auto begin = std::chrono::steady_clock::now();
    for (int number = 0; number < lines; ++number) {
        writer.write("number=" + std::to_string(number) + std::string(90, ' ') + ".");
    }
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(5));
    EXPECT_GT(writer.dropped(), 0U);
    const std::string first = pipe.read();
    EXPECT_TRUE(first.starts_with("number=0 "));
    writer.write("last");
    // Each write also flushes as much of the buffer as fits into the pipe.
    std::string remaining = pipe.read();
    for (int round = 0; round < 100; ++round) {
        writer.write("more");
        remaining += pipe.read();
    }
    // The remaining lines are whole and include the newest ones.
    EXPECT_NE(remaining.find("number=" + std::to_string(lines - 1) + " "), std::string::npos);
    EXPECT_NE(remaining.find("\nlast\n"), std::string::npos);
    EXPECT_EQ(remaining.back(), '\n');
}

TEST(LineWriterTest, DropsLinesOnceReaderHasClosed)
{
    Pipe pipe;
    LineWriter writer(pipe.writer());
    pipe.closeReader();
    writer.write("nobody");
    writer.write("reads");
    EXPECT_EQ(writer.dropped(), 2U);
}

TEST(LineWriterTest, TruncatesLongLines)
{
    const Pipe pipe;
    LineWriter writer(pipe.writer());
    writer.write(std::string(3 * LineWriter::maxLineBytes, 'x'));
    EXPECT_EQ(pipe.read().size(), LineWriter::maxLineBytes);
}

} // namespace
} // namespace godwitfall
