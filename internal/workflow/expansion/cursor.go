package expansion

import (
	"slices"

	"yardflow/internal/workflow/graph"
	"yardflow/internal/workflow/template"
)

// cursor is a position in a tree: the path of items from the root to one live item, by depth. It is a value; child and
// parent return another one.
type cursor struct {
	tree   *Tree
	scopes [template.MaxFanOutDepth + 1]int
	items  [template.MaxFanOutDepth + 1]*Item
	path   [template.MaxFanOutDepth]int
	depth  int
}

func (t *Tree) rootCursor() cursor {
	c := cursor{tree: t}
	c.items[0] = t.Root
	return c
}

// cursorTo returns the position of the item that a step lies in, false where that item is not live.
func (t *Tree) cursorTo(r StepRef) (c cursor, ok bool) {
	if r.Step < 0 || r.Step >= len(t.Graph.Nodes) {
		return c, false
	}
	scope := t.Graph.Nodes[r.Step].Scope
	var scopes [template.MaxFanOutDepth + 1]int // around the step, by depth
	for s := scope; s > graph.Root; s = t.Graph.Scopes[s].Parent {
		scopes[t.Graph.Scopes[s].Depth] = s
	}
	c = t.rootCursor()
	for d := 1; d <= t.Graph.Scopes[scope].Depth; d++ {
		it := c.fanOut(d-1, scopes[d]).LiveItems[r.Path[d-1]]
		if it == nil {
			return c, false
		}
		c = c.child(scopes[d], r.Path[d-1], it)
	}
	return c, true
}

func (c *cursor) item() *Item { return c.items[c.depth] }

func (c *cursor) scope() *graph.Scope { return &c.tree.Graph.Scopes[c.scopes[c.depth]] }

// stepRun returns the run state of a step in the cursor's item. The caller knows that the step lies in its scope.
func (c *cursor) stepRun(step int) *StepRun {
	return &c.item().Steps[c.tree.Graph.Nodes[step].Index]
}

// fanOut returns the fan-out of a scope within the item at a depth of the path.
func (c *cursor) fanOut(depth, scope int) *FanOut {
	children := c.tree.Graph.Scopes[c.scopes[depth]].Children
	return &c.items[depth].FanOuts[slices.Index(children, scope)]
}

// child returns the cursor at an item of a fan-out of the cursor's item.
func (c cursor) child(scope, index int, it *Item) cursor {
	c.path[c.depth] = index
	c.depth++
	c.scopes[c.depth], c.items[c.depth] = scope, it
	return c
}

// parent returns the cursor at the item around the cursor's item.
func (c cursor) parent() cursor {
	c.depth--
	c.path[c.depth] = 0
	return c
}
