#ifndef LABURNUMMAST_CORE_WORKSPACES_WORKSPACETABLE_H
#define LABURNUMMAST_CORE_WORKSPACES_WORKSPACETABLE_H

#include "core/workspaces/workspace.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Laburnummast::Workspaces
{

/// Immutable index of the workspaces of one configuration version by name and by credential.
class WorkspaceTable
{
public:
    WorkspaceTable() = default;
    /// Takes each workspace of a name once. A key that two workspaces hold belongs to neither.
    explicit WorkspaceTable(std::vector<Workspace> workspaces);
    WorkspaceTable(const WorkspaceTable &) = delete;
    WorkspaceTable &operator=(const WorkspaceTable &) = delete;

    /// Returns the workspace that holds the credential; null if none does.
    const Workspace *findByKey(std::string_view key) const;
    /// Returns null if there is no workspace of this name.
    const Workspace *find(std::string_view name) const;
    const std::vector<Workspace> &workspaces() const
    {
        return m_workspaces;
    }
    std::size_t keyCount() const
    {
        return m_byKey.size();
    }
    /// Number of keys that were left out because more than one workspace holds them.
    std::size_t ambiguousKeyCount() const
    {
        return m_ambiguousKeys;
    }

private:
    /// Never changed after construction: the indices refer to its strings.
    std::vector<Workspace> m_workspaces;
    std::unordered_map<std::string_view, const Workspace *> m_byKey;
    std::unordered_map<std::string_view, const Workspace *> m_byName;
    std::size_t m_ambiguousKeys = 0;
};

}

#endif
