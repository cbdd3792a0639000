package distributor

import "sycamorerun/node/planner"

// target is a peer to notify of a new version, and how.
type target struct {
	peer string
	// push selects a push of the content instead of a Have.
	push bool
	// direct tells the peer that no push of the content will follow.
	direct bool
}

// targets returns the peers to notify of a version that came from source. The
// content is pushed down the first tree, and Have is sent down the second one.
// Peers in other regions and the parent in the first tree get only Have, since
// the version usually reaches them through their own watch or parent. Source gets
// nothing. Without content, as after a snapshot, a direct Have replaces the push.
func targets(links []planner.Link, source string, content bool) []target {
	var result []target
	index := map[string]int{}
	for _, link := range links {
		down := link.Role == planner.RoleChild
		first := link.Tree == 0
		if link.Name == source || !down && link.Role != planner.RoleRegion && !first {
			continue
		}
		next := target{peer: link.Name, push: down && first && content, direct: down && first && !content}
		if i, ok := index[link.Name]; ok {
			result[i].push = result[i].push || next.push
			result[i].direct = result[i].direct || next.direct
			continue
		}
		index[link.Name] = len(result)
		result = append(result, next)
	}
	return result
}

// linkedPeers returns the distinct peers of links, mapped to whether the peer is in
// another region.
func linkedPeers(links []planner.Link) map[string]bool {
	result := map[string]bool{}
	for _, link := range links {
		result[link.Name] = result[link.Name] || link.Role == planner.RoleRegion
	}
	return result
}

// children returns the names of a node's children in the first tree.
func children(links []planner.Link) []string {
	var result []string
	for _, link := range links {
		if link.Tree == 0 && link.Role == planner.RoleChild {
			result = append(result, link.Name)
		}
	}
	return result
}
