#include "metrics.h"

#include <sstream>

#include <boost/histogram.hpp>

namespace godwitfall {

namespace {

namespace hist = boost::histogram;

constexpr int buckets = 60;
constexpr double lowestMs = 0.1;
constexpr double highestMs = 100000.0;

auto makeHistogram()
{
    return hist::make_histogram(
        hist::axis::regular<double, hist::axis::transform::log>(buckets, lowestMs, highestMs));
}

} // namespace

struct Metrics::Series
{
    decltype(makeHistogram()) counts = makeHistogram();
    double sum = 0.0;
    std::uint64_t total = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::observe(const std::string &name, double milliseconds)
{
    std::lock_guard lock(this->mutex);
    std::unique_ptr<Series> &entry = this->series[name];
    if (!entry) {
        entry = std::make_unique<Series>();
    }
    entry->counts(std::max(milliseconds, lowestMs));
    entry->sum += milliseconds;
    ++entry->total;
}

std::string Metrics::text() const
{
    std::lock_guard lock(this->mutex);
    std::ostringstream out;
    for (const auto &[name, entry] : this->series) {
        out << "# TYPE " << name << " histogram\n";
        double cumulative = 0.0;
        for (const auto &cell : hist::indexed(entry->counts)) {
            cumulative += *cell;
            if (*cell > 0.0) {
                out << name << "_bucket{le=\"" << cell.bin().upper() << "\"} " << cumulative
                    << "\n";
            }
        }
        out << name << "_bucket{le=\"+Inf\"} " << entry->total << "\n";
        out << name << "_sum " << entry->sum << "\n";
        out << name << "_count " << entry->total << "\n";
    }
    return out.str();
}

std::string sampleLine(const std::string &name, double value, const std::string &labels)
{
    std::ostringstream out;
    out.precision(15);
    out << name << (labels.empty() ? "" : "{" + labels + "}") << " " << value << "\n";
    return out.str();
}

} // namespace godwitfall
