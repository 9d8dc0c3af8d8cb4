#include "core/fleet/evacuations.h"

namespace Laburnummast::Fleet
{
namespace
{

// Time after the return of the store from a copy within which operators write again what is missing in it.
constexpr Millis rewriteTime = 2_s;

}

bool Evacuations::begin(std::string_view domain)
{
    if (const auto it = m_deferredEnds.find(domain); it != m_deferredEnds.end()) {
        m_deferredEnds.erase(it);
    }
    return m_domains.emplace(domain).second;
}

bool Evacuations::end(std::string_view domain, Millis now)
{
    const auto it = m_domains.find(domain);
    if (it == m_domains.end()) {
        return false;
    }
    if (now < m_deferEndsUntil) {
        m_deferredEnds.emplace(domain);
        return false;
    }
    m_domains.erase(it);
    return true;
}

void Evacuations::markStoreRestored(Millis now)
{
    m_deferEndsUntil = now + rewriteTime;
}

bool Evacuations::applyDeferredEnds(Millis now)
{
    if (m_deferredEnds.empty() || now < m_deferEndsUntil) {
        return false;
    }
    std::erase_if(m_domains, [&](const std::string &it) { return m_deferredEnds.contains(it); });
    m_deferredEnds.clear();
    return true;
}

}
