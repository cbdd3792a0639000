package distributor

import "sycamorerun/node/planner"

// target is what one peer is told about a new version.
type target struct {
	peer string
	// push sends the content, otherwise Have is sent.
	push bool
	// direct tells the peer that nobody is going to push the content.
	direct bool
}

// targets decides who is told about a version that came from source. The
// content goes down the first tree and Have down the second one. Peers in
// other regions and the parent in the first tree get Have, unless they are
// the source: the version usually reaches them by their own watch or parent.
// Without content, after a snapshot, Have takes the place of the push.
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

// peers returns the distinct peers of links; the value tells whether the peer
// is in another region.
func linkedPeers(links []planner.Link) map[string]bool {
	result := map[string]bool{}
	for _, link := range links {
		result[link.Name] = result[link.Name] || link.Role == planner.RoleRegion
	}
	return result
}

// children returns the peers below a node in the first tree.
func children(links []planner.Link) []string {
	var result []string
	for _, link := range links {
		if link.Tree == 0 && link.Role == planner.RoleChild {
			result = append(result, link.Name)
		}
	}
	return result
}
