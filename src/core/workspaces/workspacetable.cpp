#include "core/workspaces/workspacetable.h"

#include <utility>

namespace Laburnummast::Workspaces
{

WorkspaceTable::WorkspaceTable(std::vector<Workspace> workspaces)
    : m_workspaces(std::move(workspaces))
{
    for (const auto &workspace : m_workspaces) {
        if (!m_byName.emplace(workspace.name, &workspace).second) {
            continue;
        }
        for (const auto &key : workspace.keys) {
            const auto [it, isNew] = m_byKey.emplace(key, &workspace);
            if (!isNew && it->second != &workspace) {
                it->second = nullptr;
            }
        }
    }
    // Calls with such a key could be counted for the wrong workspace, so they are rejected.
    m_ambiguousKeys = std::erase_if(m_byKey, [](const auto &it) { return it.second == nullptr; });
}

const Workspace *WorkspaceTable::findByKey(std::string_view key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() ? nullptr : it->second;
}

const Workspace *WorkspaceTable::find(std::string_view name) const
{
    const auto it = m_byName.find(name);
    return it == m_byName.end() ? nullptr : it->second;
}

}
