#include "linewriter.h"

#include <cerrno>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace godwitfall {

namespace {

/** Returns whether a whole line can be written without blocking. */
bool takesMore(int descriptor)
{
    pollfd asked{descriptor, POLLOUT, 0};
    return poll(&asked, 1, 0) == 1 && (asked.revents & (POLLOUT | POLLERR | POLLHUP)) != 0;
}

} // namespace

LineWriter::LineWriter(int descriptor)
    : descriptor(descriptor)
{}

void LineWriter::write(std::string line)
{
    if (line.size() >= longestLine) {
        line.resize(longestLine - 1);
    }
    line += '\n';
    const std::lock_guard lock(this->mutex);
    if (this->closed) {
        ++this->droppedLines;
        return;
    }
    this->waitingBytes += line.size();
    this->ring.push_back(std::move(line));
    this->flush();
    while (this->waitingBytes > ringBytes) {
        this->drop();
    }
}

void LineWriter::flush()
{
    while (!this->ring.empty() && takesMore(this->descriptor)) {
        const std::string &first = this->ring.front();
        const ssize_t written = ::write(this->descriptor, first.data() + this->writtenOfFirst,
                                        first.size() - this->writtenOfFirst);
        if (written < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                this->closed = true;
                this->droppedLines += this->ring.size();
                this->ring.clear();
            }
            return;
        }
        this->writtenOfFirst += static_cast<std::size_t>(written);
        if (this->writtenOfFirst == first.size()) {
            this->waitingBytes -= first.size();
            this->writtenOfFirst = 0;
            this->ring.pop_front();
        }
    }
}

void LineWriter::drop()
{
    // A partly written line is kept, so that the reader gets it whole.
    const auto oldest = this->ring.begin() + (this->writtenOfFirst > 0 ? 1 : 0);
    this->waitingBytes -= oldest->size();
    this->ring.erase(oldest);
    ++this->droppedLines;
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(this->mutex);
    return this->droppedLines;
}

} // namespace godwitfall
