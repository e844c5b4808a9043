#include "fescueledge/workflow/catalog.h"

namespace fescueledge::workflow {

const QueuePolicy *Catalog::match(const std::string &host, const std::string &path) const
{
    const QueuePolicy *best = nullptr;
    for (const QueuePolicy &queue : queues) {
        const bool matches = queue.host == host && path.compare(0, queue.pathPrefix.size(), queue.pathPrefix) == 0;
        if (matches && (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueuePolicy *Catalog::queue(const std::string &name) const
{
    for (const QueuePolicy &queue : queues) {
        if (queue.name == name) {
            return &queue;
        }
    }
    return nullptr;
}

} // namespace fescueledge::workflow
