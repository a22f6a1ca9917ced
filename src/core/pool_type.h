#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace bramleypitch {

/// Container of entities with stable, typed indices. Slots of erased entities are reused.
/// `Index` is a StrongType over std::uint32_t. Use forEach() to iterate.
template<typename Entity, typename Index>
class Pool
{
public:
    /// Stores an entity in a free slot, or in a new one if none is free, and returns its index.
    Index insert(Entity entity)
    {
        if (m_free.empty()) {
            m_slots.push_back(std::move(entity));
            ++m_size;
            return Index(static_cast<std::uint32_t>(m_slots.size() - 1));
        }
        const std::uint32_t slot = m_free.back();
        m_free.pop_back();
        m_slots[slot] = std::move(entity);
        ++m_size;
        return Index(slot);
    }

    /// Returns the entity, or null if the slot is free or does not exist.
    Entity *find(Index index)
    {
        if (index.value() >= m_slots.size() || !m_slots[index.value()])
            return nullptr;
        return &*m_slots[index.value()];
    }

    const Entity *find(Index index) const
    {
        if (index.value() >= m_slots.size() || !m_slots[index.value()])
            return nullptr;
        return &*m_slots[index.value()];
    }

    /// Removes an entity and frees its slot. Does nothing if the index is not in use.
    void erase(Index index)
    {
        if (!find(index))
            return;
        m_slots[index.value()].reset();
        m_free.push_back(index.value());
        --m_size;
    }

    /// Calls visit(Index, Entity &) for every entity, in index order.
    template<typename Visit>
    void forEach(Visit visit)
    {
        for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot) {
            if (m_slots[slot])
                visit(Index(slot), *m_slots[slot]);
        }
    }

    /// Calls visit(Index, const Entity &) for every entity, in index order.
    template<typename Visit>
    void forEach(Visit visit) const
    {
        for (std::uint32_t slot = 0; slot < m_slots.size(); ++slot) {
            if (m_slots[slot])
                visit(Index(slot), *m_slots[slot]);
        }
    }

    std::size_t size() const { return m_size; }

private:
    std::vector<std::optional<Entity>> m_slots;
    std::vector<std::uint32_t> m_free;
    std::size_t m_size = 0;
};

} // namespace bramleypitch
