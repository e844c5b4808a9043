#pragma once

#include <functional>
#include <string>

namespace fescueledge {

/// The answer of the object store.
struct ObjectResult
{
    enum class Status {
        Ok,
        Missing,
        Unavailable,
    };
    Status status = Status::Unavailable;
    std::string bytes; ///< The object, for a read that succeeded.
};

/// The platform's object store: immutable blobs by name. Handlers run later on the caller's loop, exactly once.
class ObjectStore
{
public:
    using Handler = std::function<void(const ObjectResult &)>;

    virtual ~ObjectStore() = default;
    /// Writes @p bytes as object @p name. Idempotent: the same bytes may be written again.
    virtual void put(const std::string &name, const std::string &bytes, Handler handler) = 0;
    /// Reads the object @p name.
    virtual void fetch(const std::string &name, Handler handler) = 0;
};

} // namespace fescueledge
