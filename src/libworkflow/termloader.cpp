#include "termloader_pvt.h"

#include "fescueledge/tableservice.h"
#include "rows_pvt.h"

#include <numeric>
#include <utility>

namespace fescueledge::workflow {

namespace {

std::int64_t bytesOf(const std::vector<Row> &rows)
{
    return std::accumulate(rows.begin(), rows.end(), std::int64_t{0}, [](std::int64_t sum, const Row &row) {
        return sum + static_cast<std::int64_t>(row.value.size());
    });
}

} // namespace

TermLoader::TermLoader(std::shared_ptr<Context> context, TableService *table)
    : m_context(std::move(context))
    , m_table(table)
{
}

void TermLoader::start(LoadedHandler loaded)
{
    m_loaded = std::move(loaded);
    m_pendingReads = 3;
    m_startedAt = m_context->now();
    readProgress();
    readWorkerRecord();
    readModel();
}

void TermLoader::readProgress()
{
    const std::shared_ptr<Context> context = m_context;
    m_table->scan("progress/", [this, context](const ReadResult &result) {
        if (context->ended || !checkAvailable(result, "progress", &TermLoader::readProgress)) {
            return;
        }
        for (const Row &row : result.rows) {
            m_state.progress[row.key.substr(row.key.find('/') + 1)] = row.value;
        }
        onReadDone();
    });
}

void TermLoader::readWorkerRecord()
{
    const std::shared_ptr<Context> context = m_context;
    const Duration sentAt = context->sinceBoot();
    m_table->scan(rows::wholeWorkerRecord(), [this, context, sentAt](const ReadResult &result) {
        if (context->ended || !checkAvailable(result, "workers", &TermLoader::readWorkerRecord)) {
            return;
        }
        context->serviceClock.record(result.serviceTime, sentAt, context->sinceBoot());
        m_state.workerRecord = result.rows;
        workersRead(m_state.workerRecord);
        onReadDone();
    });
}

void TermLoader::readModel()
{
    const std::shared_ptr<Context> context = m_context;
    m_table->read({rows::interference()}, [this, context](const ReadResult &result) {
        if (context->ended || !checkAvailable(result, "interference", &TermLoader::readModel)) {
            return;
        }
        const Row *model = result.find(rows::interference());
        m_state.interference = model == nullptr ? std::string() : model->value;
        onReadDone();
    });
}

bool TermLoader::checkAvailable(const ReadResult &result, const char *what, Reader again)
{
    m_context->log->write(
        LogLine("term_read")
            .with("term", static_cast<std::int64_t>(m_context->term))
            .with("what", what)
            .with("rows", static_cast<std::int64_t>(result.rows.size()))
            .with("bytes", bytesOf(result.rows))
            .with("since_start_ms", std::chrono::duration_cast<Milliseconds>(m_context->now() - m_startedAt))
            .with("outcome", result.available ? "read" : "no answer"));
    storeReachable(result.available);
    if (!result.available) {
        const std::shared_ptr<Context> context = m_context;
        context->loop->postAfter(context->settings.orderRetryDelay, [this, context, again] {
            if (!context->ended) {
                (this->*again)();
            }
        });
    }
    return result.available;
}

void TermLoader::onReadDone()
{
    if (--m_pendingReads == 0) {
        m_loaded(std::move(m_state));
    }
}

} // namespace fescueledge::workflow
