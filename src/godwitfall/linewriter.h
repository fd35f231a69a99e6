#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace godwitfall {

/**
 * Writes lines to a file descriptor without blocking.
 *
 * Lines that the reader is too slow for are buffered; a full buffer drops its oldest lines.
 * Thread-safe.
 */
class LineWriter
{
public:
    /** Limit of the buffer, in bytes; a few seconds of an instance's busiest log. */
    static constexpr std::size_t maxPendingBytes = 256 * 1024;
    /** Longest line with its newline, in bytes; a pipe writes up to this size atomically. */
    static constexpr std::size_t maxLineBytes = 4096;

    /** Does not close the descriptor. */
    explicit LineWriter(int descriptor);

    /** Adds the line, truncated to maxLineBytes, and writes what is possible without blocking. */
    void write(std::string line);

    /** Returns the number of lines dropped so far. */
    std::uint64_t dropped() const;

private:
    void flush();
    void dropOldest();

    const int descriptor;
    mutable std::mutex mutex;
    std::deque<std::string> pending;
    std::size_t pendingBytes = 0;
    std::size_t writtenOfFirst = 0;
    std::uint64_t droppedLines = 0;
    bool closed = false; ///< The reader has closed its end.
};

} // namespace godwitfall
