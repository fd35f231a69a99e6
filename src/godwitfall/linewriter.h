#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace godwitfall {

/**
 * Writes lines to a file descriptor without ever waiting for its reader.
 *
 * What the reader does not take at once stays in a bounded ring that drops its oldest lines. May be
 * used from any thread.
 */
class LineWriter
{
public:
    /** Bytes that wait for the reader at most; a few seconds of an instance's busiest log. */
    static constexpr std::size_t ringBytes = 256 * 1024;
    /** Longest line, with its end, in bytes; a pipe takes so much whole or not at all. */
    static constexpr std::size_t longestLine = 4096;

    /** The descriptor stays the caller's. */
    explicit LineWriter(int descriptor);

    /** Adds the line, cut to the longest one, and writes what the reader takes. */
    void write(std::string line);

    /** Returns how many lines the reader will never get. */
    std::uint64_t dropped() const;

private:
    void flush();
    void drop();

    const int descriptor;
    mutable std::mutex mutex;
    std::deque<std::string> ring;
    std::size_t waitingBytes = 0;
    std::size_t writtenOfFirst = 0;
    std::uint64_t droppedLines = 0;
    bool closed = false; ///< The reader is gone for good.
};

} // namespace godwitfall
