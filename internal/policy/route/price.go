package route

import "hornbeamwood/internal/settings/rules"

// tokensPerPrice is the number of tokens that rules.Rules.RecomputePrice is for.
const tokensPerPrice = 1000

// prices are those of a request's rules.
type prices struct {
	firstToken float64 // of a second
	token      float64 // of a recomputed token
	link       float64 // of a second of a store's link
}

func pricesOf(u *rules.Rules) prices {
	return prices{firstToken: u.FirstTokenPrice, token: u.RecomputePrice / tokensPerPrice, link: u.LinkPrice}
}

// price sets the time to first token and the cost of e at the prices of the request's rules.
func (e *Estimate) price(q *Query) {
	e.TTFT = max(e.Wait, e.Import) + e.Compute
	e.Cost = q.price.firstToken*e.TTFT +
		q.price.token*float64(e.Recomputed) +
		q.price.link*e.LinkSeconds +
		e.BacklogPrice*e.LinkDelay +
		e.Penalty
}
