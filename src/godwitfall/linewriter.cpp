#include "linewriter.h"

#include <cerrno>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace godwitfall {

namespace {

/** Returns whether a whole line can be written without blocking. */
bool isWritable(int descriptor)
{
    pollfd request{descriptor, POLLOUT, 0};
    return poll(&request, 1, 0) == 1 && (request.revents & (POLLOUT | POLLERR | POLLHUP)) != 0;
}

} // namespace

LineWriter::LineWriter(int descriptor)
    : descriptor(descriptor)
{}

void LineWriter::write(std::string line)
{
    if (line.size() >= maxLineBytes) {
        line.resize(maxLineBytes - 1);
    }
    line += '\n';
    const std::lock_guard lock(this->mutex);
    if (this->closed) {
        ++this->droppedLines;
        return;
    }
    this->pendingBytes += line.size();
    this->pending.push_back(std::move(line));
    this->flush();
    while (this->pendingBytes > maxPendingBytes) {
        this->dropOldest();
    }
}

void LineWriter::flush()
{
    while (!this->pending.empty() && isWritable(this->descriptor)) {
        const std::string &first = this->pending.front();
        const ssize_t written = ::write(this->descriptor, first.data() + this->writtenOfFirst,
                                        first.size() - this->writtenOfFirst);
        if (written < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                this->closed = true;
                this->droppedLines += this->pending.size();
                this->pending.clear();
            }
            return;
        }
        this->writtenOfFirst += static_cast<std::size_t>(written);
        if (this->writtenOfFirst == first.size()) {
            this->pendingBytes -= first.size();
            this->writtenOfFirst = 0;
            this->pending.pop_front();
        }
    }
}

void LineWriter::dropOldest()
{
    // A partly written line is kept, so that the reader gets it whole.
    const auto oldest = this->pending.begin() + (this->writtenOfFirst > 0 ? 1 : 0);
    this->pendingBytes -= oldest->size();
    this->pending.erase(oldest);
    ++this->droppedLines;
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(this->mutex);
    return this->droppedLines;
}

} // namespace godwitfall
