#pragma once

#include "fescueledge/types.h"

#include <functional>
#include <memory>

namespace fescueledge::workflow {

struct Catalog;

/// Follows changes of the operators' configuration.
class CatalogSource
{
public:
    using Handler = std::function<void(const std::shared_ptr<const Catalog> &)>;

    virtual ~CatalogSource() = default;
    /// Starts following; the handler is called with each newer catalog.
    virtual void follow(Handler handler) = 0;
    /// No newer catalog had been published at this time since boot; zero before the first.
    virtual Duration confirmedAt() const = 0;
    /// Sets a handler that is called after each call to the store with whether it answered. Set before follow().
    virtual void setContactHandler(std::function<void(bool)> handler) = 0;
};

} // namespace fescueledge::workflow
