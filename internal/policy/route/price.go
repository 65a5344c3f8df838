package route

import "hornbeamwood/internal/settings/rules"

// tokensPerPrice is the number of tokens that rules.Rules.RecomputePrice applies to.
const tokensPerPrice = 1000

// prices are the prices set by a request's rules.
type prices struct {
	firstToken float64 // per second
	token      float64 // per recomputed token
	link       float64 // per second of a store's link
}

func pricesOf(r *rules.Rules) prices {
	return prices{firstToken: r.FirstTokenPrice, token: r.RecomputePrice / tokensPerPrice, link: r.LinkPrice}
}

// price sets the time to first token and the cost of e from the prices of the request.
func (e *Estimate) price(q *Query) {
	e.TTFT = max(e.Wait, e.Import) + e.Compute
	e.Cost = q.price.firstToken*e.TTFT +
		q.price.token*float64(e.Recomputed) +
		q.price.link*e.LinkSeconds +
		e.BacklogPrice*e.LinkDelay +
		e.Penalty
}
