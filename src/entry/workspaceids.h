#ifndef LABURNUMMAST_ENTRY_WORKSPACEIDS_H
#define LABURNUMMAST_ENTRY_WORKSPACEIDS_H

#include "core/placement/callspec.h"

#include <string>
#include <unordered_map>

namespace Laburnummast::Entry
{

/// Numbers by which the dispatchers of this daemon tell workspaces apart; a name keeps its number over all versions of the routes.
class WorkspaceIds
{
public:
    Placement::WorkspaceId idOf(const std::string &name)
    {
        const auto next = static_cast<Placement::WorkspaceId>(m_ids.size() + 1);
        return m_ids.try_emplace(name, next).first->second;
    }

private:
    std::unordered_map<std::string, Placement::WorkspaceId> m_ids;
};

}

#endif
