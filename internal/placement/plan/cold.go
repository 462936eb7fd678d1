package plan

// coldFactor returns by which factor a task takes longer on a worker since it is cold, 1 if it is warm.
func (p *Plan) coldFactor(w *worker) float64 { return p.coldFactors.At(w.Service, w.cold, p.now) }

// wasCold reports whether its worker was cold when the run was sent. How long such a run takes says nothing
// about the warm worker, so it counts neither for the worker nor for its kind.
func (r *run) wasCold() bool { return r.cold.Left(r.sentAt) > 0 }

// learnFromCold learns the cold factor of the service from a run that has succeeded on a cold worker.
func (p *Plan) learnFromCold(r *run) {
	warm := float64(r.task.job.baseTimes[r.task.step]) * r.worker.factor
	if warm > 0 {
		p.coldFactors.Observe(r.worker.Service, r.cold, r.sentAt, p.now, float64(p.now.Sub(r.sentAt))/warm)
	}
}
