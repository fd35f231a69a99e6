#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "configview.h"
#include "coordinator.h"
#include "groupcommit.h"
#include "joblog.h"
#include "jobservice.h"
#include "jobtable.h"
#include "ownerlease.h"
#include "random.h"
#include "zoneevacuations.h"

namespace godwitfall {

/** Why the starts of tasks are paused; a closed list in logs and metrics. */
enum class StartsPause : std::uint8_t {
    JobsUnread,         ///< The view of the jobs is too old; a cancel may be unknown.
    ZoneRequestsUnread, ///< The view of evacuated zones is too old; a request may be unknown.
};

/** Returns the reason's name in logs and metrics. */
const char *toText(StartsPause reason);

/** Receives the events of a node and does what needs sockets on its behalf. */
class JobNodeHost : public CoordinatorObserver
{
public:
    /** A reply of the store has arrived; work() is to be called soon. */
    virtual void workPending() = 0;

    /** The node has won the claim and needs the newest records of the progress stream applied;
     * progressLoaded() is to be called then. */
    virtual void progressNeeded(std::uint64_t epoch) = 0;

    /** The node coordinates now and needs the registry's entries of all workers. */
    virtual void ownershipGained(std::uint64_t epoch) = 0;

    /** The node no longer coordinates, has discarded its view, and needs the job log read again
     * from its newest records. */
    virtual void ownershipLost(std::uint64_t epoch, const char *reason) = 0;

    /** Starts are paused because a view of that age is too old for them, or resumed. */
    virtual void startsPaused(bool paused, StartsPause reason, Duration viewAge) = 0;

    /** An operator requests the evacuation of the zone, or does so no longer. */
    virtual void zoneEvacuation(const ZoneId &zone, bool requested) = 0;

    virtual void recordUnreadable(const JobRecord &record) = 0;

    /** The log says that the job has ended, which the present coordinator of this node, if any, has
     * not decided; once for each reading of the log from its newest records. */
    virtual void jobEndRead(const Job &job) = 0;

    /** The store does not take the records, or some of them; they are not stored. */
    virtual void recordsRejected(const std::vector<JobRecord> &records) = 0;

    /** Another instance has a newer configuration, which is to be read at once. */
    virtual void configOutdated() = 0;
};

/** Identity and limits of the process that runs a node. */
struct JobNodeSettings
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string address;     ///< Where other instances reach this one; empty: not reachable.
    double processors = 1.0; ///< That the process may use, in cores.
    WorkerBounds worker;
    Duration statusRetention{120000}; ///< How long a finished job stays visible.
    /** From a configuration's acknowledgement until it must be in force. */
    Duration configApplyTime{2000};
    StoreLimits store;
    /** From the acknowledgement of a request to evacuate a zone until nothing starts there any
     * more; 0: not bounded. */
    Duration evacuationTime{0};
    std::size_t jobMemory = JobService::usualJobMemory; ///< Bound on accepted jobs, in bytes.
};

/**
 * One instance without its sockets: a view of the job log, the job service for clients, and the
 * coordinator, which is active while the instance owns the log.
 *
 * Ownership is taken in this order: claim in the jobs stream, fence former owners out of the
 * progress stream, load that stream, then coordinate.
 */
class JobNode
{
public:
    /** Time between appends of progress; ends and starts within it share one append. */
    static constexpr Duration commitInterval{10};
    /** Time between appends of published states; clients poll less often than tasks change. */
    static constexpr Duration statusInterval{20};
    /** Time between ownership records; four fit into OwnerLease::ownerTimeout. */
    static constexpr Duration ownershipInterval{500};
    /** Time after which a claim that has not appeared in the log may be repeated. */
    static constexpr Duration claimTimeout{1500};
    /** Time between records of learned image pressures; a successor has to relearn at most this
     * much. */
    static constexpr Duration pressuresInterval{3000};
    static constexpr Duration trimInterval{5000};
    /** Maximum number of jobs removed in one append. */
    static constexpr std::size_t trimBatchJobs = 64;

    JobNode(const JobNodeSettings &settings, JobLog &log, OrderSender &orders, JobNodeHost &host,
            Random &random);

    /** Applies a record of the job log, read in log order or as the newest of its key. */
    void applyRecord(const JobRecord &record, Instant now);

    /** Notes that the log was read up to the offset. */
    void logReadTo(std::uint64_t end, Instant now);

    /** Notes that all newest records of the progress stream were applied, as requested by
     * progressNeeded(). */
    void progressLoaded();

    /** Puts the configuration into force; returns false, without effect, unless it is newer. */
    bool setConfig(const JobConfig &config);

    /** Notes the version of another instance's configuration. */
    void noteConfigVersion(std::uint64_t version);

    /** Notes that an answer by the version of the configuration was passed on to a client. */
    void noteShownConfig(std::uint64_t version) { this->configuration.noteShown(version); }

    /** Notes that every version of the configuration stored at the time was read. */
    void configReadTo(Instant asOf) { this->configuration.readTo(asOf); }
    const ConfigView &config() const { return this->configuration; }

    /** Applies the record of a zone that operators evacuate, or do so no longer. */
    void applyEvacuation(const ZoneId &zone, bool requested, std::uint64_t offset, Instant now);

    /** Notes that the newest record of each zone follows, read anew. */
    void beginNewestEvacuations() { this->evacuations.beginNewest(); }

    /** Notes that these are complete: zones without one are no longer evacuated. */
    void endNewestEvacuations(Instant now);

    /** Notes that every request stored at the time was read. */
    void evacuationsReadTo(Instant asOf) { this->evacuations.readTo(asOf); }
    const std::set<ZoneId> &evacuatedZones() const { return this->evacuations.requested(); }

    /** Returns whether a start that was decided on before may be sent to the worker now, as far as
     * the evacuation of zones is concerned. */
    bool mayStartOn(const WorkerId &worker, Instant now) const;

    /** Runs everything that is due: claims, orders, commits, appends. */
    void work(Instant now, std::int64_t unixMs);

    /** Steps down, if this node coordinates, after an error in its own state. */
    void abandon() { this->stepDown("internal error"); }

    /** Begins a planned stop: releases ownership and claims it no more. */
    void beginShutdown() { this->stopping = true; }

    /** Returns whether the node owns nothing and has no submission in flight. */
    bool released() const { return !this->ownsLog() && this->submissions.idle(); }

    /** Returns whether new clients should use this instance. */
    bool ready(Instant now) const;

    /** Returns whether the owner is not so much stronger that it would replace this node again. */
    bool likelySuccessor() const { return this->lease.likelySuccessor(this->table.owner()); }

    /** Returns the address of the coordinator; empty when it is this node or unknown. */
    std::string coordinatorAddress() const;

    bool coordinates() const { return this->coordinator.active(); }
    Coordinator &coordination() { return this->coordinator; }
    const Coordinator &coordination() const { return this->coordinator; }
    JobService &jobService() { return this->service; }
    JobTable &jobs() { return this->table; }

    /** Returns the estimated memory of the accepted jobs, in bytes. */
    std::size_t jobMemory() const { return this->table.estimatedBytes(); }

    /** Sends what clients submitted since the last work(). */
    void sendSubmissions(Instant now) { this->submissions.process(now); }

private:
    /** What a node that has won a claim waits for before it coordinates. */
    enum class Takeover : std::uint8_t {
        None,
        Fencing, ///< Its first append to the progress stream, which fences former owners.
        Loading, ///< The newest records of that stream.
        Loaded,
    };

    /** Returns whether the node coordinates or is taking over. */
    bool ownsLog() const { return this->coordinator.active() || this->takeover != Takeover::None; }

    /** Claims ownership if it is due, or continues a takeover. */
    void considerClaim(Instant now, std::int64_t unixMs);
    void claim(Instant now);
    /** Fences former owners out of the progress stream, so that what is read next is complete. */
    void fenceProgress(Instant now);
    void becomeOwner(Instant now, std::int64_t unixMs);
    /** Sends no more orders from now on; stepDown() follows with the next work(). */
    void stopCoordinating(const char *reason);
    void stepDown(const char *reason);
    void commit(Instant now, std::int64_t unixMs);
    /** Appends the ownership record when it is due, and job states to publish. */
    void announce(Instant now);
    /** Appends a released ownership record once nothing else is in flight. */
    void release(Instant now);
    /** Removes finished jobs from the log some time after their retention. */
    void trimFinished(Instant now, std::int64_t unixMs);
    void addPressures(std::vector<JobRecord> &batch, Instant now);
    /** Pauses starts while a view is too old to include every cancel or request to evacuate a zone
     * that must stop them. */
    void pauseStartsOnStaleView(Instant now);
    JobRecord ownershipRecord(std::uint64_t epoch, bool released, const SilentWorkers &silent,
                              Instant now) const;

    const JobNodeSettings settings;
    JobLog &log;
    JobNodeHost &host;
    Random &random;
    JobTable table;
    GroupCommit submissions;
    GroupCommit progressUpdates; ///< Appends of the coordinator to the progress stream.
    GroupCommit announcements;   ///< Appends of the owner to the jobs stream.
    JobService service;
    OwnerLease lease;
    Coordinator coordinator;
    ConfigView configuration;
    ZoneEvacuations evacuations;
    StartsPause pauseReason = StartsPause::JobsUnread; ///< Of the present or the last pause.

    bool viewLoaded = false;
    std::uint64_t logEnd = 0; ///< Offset up to which the jobs stream was read.
    bool claimInFlight = false;
    std::uint64_t claimSequence = 0;
    Instant claimSentAt;
    bool formerOwnerGone = false; ///< No former owner could renew leases at the last claim.
    Instant formerOwnerSeenAt;    ///< When its last record before the claim was read.
    SilentWorkers formerSilent;   ///< As of its newest record before the claim.
    bool formerReleased = false;  ///< It was released.
    Instant ownershipWrittenAt;
    Instant committedAt;
    bool commitInFlight = false;
    bool announcementInFlight = false;
    Instant announcedAt;
    Takeover takeover = Takeover::None;
    const char *stepDownReason = nullptr;
    std::uint64_t lostEpoch = 0; ///< Epoch that ended and is to be reported; 0: none.
    bool stopping = false;
    bool releasing = false; ///< The released ownership record is in flight or stored.
    Instant pressuresAt;
    Instant trimmedAt;
};

} // namespace godwitfall
