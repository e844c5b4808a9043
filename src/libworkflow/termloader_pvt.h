#pragma once

#include "context_pvt.h"
#include "fescueledge/row.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescueledge {
class TableService;
struct ReadResult;
} // namespace fescueledge

namespace fescueledge::workflow {

/// State that earlier coordinators left in the store, besides the jobs themselves.
struct TermState
{
    std::map<JobId, std::string> progress; ///< Progress rows by job.
    std::vector<Row> workerRecord; ///< Rows of the record of workers that may run something.
    std::string interference; ///< Row of the interference model; empty if there is none.
};

/// Loads the TermState at the start of a term. All reads run concurrently, because each call to a slow store takes
/// long.
class TermLoader
{
public:
    using LoadedHandler = std::function<void(TermState)>;

    TermLoader(std::shared_ptr<Context> context, TableService *table);

    /// Calls @p loaded once everything is read; reads are retried until they succeed.
    void start(LoadedHandler loaded);
    /// Called with the record of workers that may run something, as soon as it is read.
    std::function<void(const std::vector<Row> &)> workersRead;
    /// Called after each read, with whether the store answered.
    std::function<void(bool)> storeReachable;

private:
    using Reader = void (TermLoader::*)();

    void readProgress();
    void readWorkerRecord();
    void readModel();
    /// Returns whether @p result of the read of @p what can be used; if not, schedules @p again.
    bool checkAvailable(const ReadResult &result, const char *what, Reader again);
    void onReadDone();

    std::shared_ptr<Context> m_context;
    TableService *m_table;
    LoadedHandler m_loaded;
    TermState m_state;
    int m_pendingReads = 0;
    TimePoint m_startedAt{};
};

} // namespace fescueledge::workflow
