#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coordinator.h"
#include "groupcommit.h"
#include "jobdesk.h"
#include "joblog.h"
#include "jobtable.h"
#include "ownerlease.h"
#include "random.h"

namespace godwitfall {

/** Told what a node believes and decides, and asked for what needs sockets. */
class JobNodeHost : public CoordinatorObserver
{
public:
    /** The store has answered, and work() is to be called soon. */
    virtual void workWaits() = 0;

    /** The node has won the claim and needs the newest records of the progress stream; it is to be
     * told by progressLoaded(). */
    virtual void progressNeeded(std::uint64_t epoch) = 0;

    /** The node coordinates now and needs the workers' entries. */
    virtual void ownershipGained(std::uint64_t epoch) = 0;

    /** The node coordinates no more and needs the job log read from its newest records. */
    virtual void ownershipLost(std::uint64_t epoch, const char *reason) = 0;

    /** Starts are held back, as the view of the jobs is older than they allow, or go on. */
    virtual void startsHeld(bool held, Duration viewAge) = 0;

    virtual void recordUnreadable(const JobRecord &record) = 0;
};

/** What one process needs to know of itself. */
struct JobNodeSettings
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string address;     ///< Where other instances reach this one; empty: nowhere.
    double processors = 1.0; ///< That the process may use, as a share of one core.
    WorkerBounds worker;
    Duration statusRetention{120000}; ///< How long a finished job is shown.
};

/**
 * One instance without its sockets: a view of the job log, the desk for clients, and coordination
 * while the instance owns the log.
 */
class JobNode
{
public:
    /** Pause between appends of the coordinator; ends and starts of that time share one append. */
    static constexpr Duration commitGap{10};
    /** Pause between appends of what clients are told; they ask less often than tasks change. */
    static constexpr Duration statusGap{20};
    /** Time between ownership records; four fit into the silence that loses ownership. */
    static constexpr Duration ownershipGap{500};
    /** Time after which a claim that did not show in the log may be repeated. */
    static constexpr Duration claimTimeout{1500};
    /** Time between records of what was learnt of images; a successor relearns so much. */
    static constexpr Duration pressuresGap{3000};
    static constexpr Duration trimGap{5000};
    /** Most jobs forgotten in one append. */
    static constexpr std::size_t trimBatch = 64;

    JobNode(const JobNodeSettings &settings, JobLog &log, OrderSender &orders, JobNodeHost &host,
            Random &random);

    /** Applies a record of the job log, read in its order or as the newest of its key. */
    void applyRecord(const JobRecord &record, Instant now);

    /** Notes that the log was read up to the offset. */
    void viewRead(std::uint64_t end, Instant now);

    /** Notes that all newest records of the progress stream were applied, as progressNeeded()
     * asked. */
    void progressLoaded();

    void setConfig(const JobConfig &config);
    const JobConfig *config() const { return this->current ? &*this->current : nullptr; }

    /** Does what is due: claims, orders, commits, appends. */
    void work(Instant now, std::int64_t unixMs);

    /** Gives up coordination, if it is this node's, after an error in its own state. */
    void abandon() { this->stepDown("internal error"); }

    /** Begins a planned stop: hands ownership over and coordinates nothing new. */
    void beginShutdown() { this->stopping = true; }

    /** Returns whether nothing of the node is under way any more. */
    bool released() const { return !this->ownsLog() && this->submissions.idle(); }

    /** Returns whether clients are served well here. */
    bool ready(Instant now) const;

    /** Returns whether this node is about as fit to coordinate as the one that does. */
    bool likelySuccessor() const { return this->lease.likelySuccessor(this->table.owner()); }

    /** Returns where the coordinator is reached; empty when it is this node or not known. */
    std::string coordinatorAddress() const;

    bool coordinates() const { return this->coordinator.active(); }
    Coordinator &coordination() { return this->coordinator; }
    const Coordinator &coordination() const { return this->coordinator; }
    JobDesk &jobDesk() { return this->desk; }
    JobTable &jobs() { return this->table; }

    /** Sends what clients handed in since the last work. */
    void pumpSubmissions(Instant now) { this->submissions.pump(now); }

private:
    /** What a node that has won a claim waits for. */
    enum class TakeOver : std::uint8_t {
        None,
        Fencing, ///< The fence of the progress stream.
        Loading, ///< The newest records of that stream.
        Loaded,
    };

    /** Returns whether the node coordinates or is taking over. */
    bool ownsLog() const { return this->coordinator.active() || this->takeOver != TakeOver::None; }

    void considerClaim(Instant now, std::int64_t unixMs);
    void claim(Instant now);
    /** Keeps former owners from writing progress, so that what is read then is all. */
    void fenceProgress(Instant now);
    void becomeOwner(Instant now, std::int64_t unixMs);
    /** Orders nothing more from now on; stepDown() follows with the next work. */
    void stopCoordinating(const char *reason);
    void stepDown(const char *reason);
    void commit(Instant now, std::int64_t unixMs);
    /** Announces ownership where it is due, and what clients are to be told. */
    void announce(Instant now);
    void release(Instant now);
    void trimFinished(Instant now, std::int64_t unixMs);
    void addPressures(std::vector<JobRecord> &batch, Instant now);
    /** Holds starts back while the view is too old to know of every cancel that binds them. */
    void boundStartsByView(Instant now);
    JobRecord ownershipRecord(std::uint64_t epoch, bool released) const;

    const JobNodeSettings settings;
    JobLog &log;
    JobNodeHost &host;
    Random &random;
    JobTable table;
    GroupCommit submissions;
    GroupCommit records;       ///< Progress, as coordinator.
    GroupCommit announcements; ///< Ownership and states of jobs, as coordinator.
    JobDesk desk;
    OwnerLease lease;
    Coordinator coordinator;
    std::optional<JobConfig> current;

    bool loaded = false;
    std::uint64_t logEnd = 0;
    bool claimInFlight = false;
    std::uint64_t claimSequence = 0;
    Instant claimSentAt;
    bool claimPrompt = false;
    Instant ownershipWrittenAt;
    Instant committedAt;
    bool commitInFlight = false;
    bool announcementInFlight = false;
    Instant announcedAt;
    TakeOver takeOver = TakeOver::None;
    const char *stepDownReason = nullptr;
    std::uint64_t lostEpoch = 0; ///< Ownership that has ended and is not reported yet.
    bool stopping = false;
    Instant pressuresAt;
    Instant trimmedAt;
};

} // namespace godwitfall
