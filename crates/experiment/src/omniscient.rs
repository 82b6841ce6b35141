//! The bound: one queue that knows everything at every moment.

use {
    crate::{ArrivalRow, World, engine::EngineAnswer, world::at},
    std::rc::Rc,
};

struct Choice {
    region: usize,
    engine: usize,
    first: f64,
}

/// Serves one request; engines are first come, first served, so that the engine with the earliest first
/// token is what one queue before all engines would choose.
pub(crate) async fn serve(world: Rc<World>, row: Rc<ArrivalRow>, from: usize) {
    loop {
        let Some(choice) = choose(&world, &row, from) else {
            world.refused(&row, from);
            return;
        };
        let link = link(&world, from, choice.region);
        let engine = world.regions[choice.region].engines[choice.engine].clone();
        world.clock.until(at(world.now() + link)).await;
        let generation = engine.generation(world.now());
        match engine.submit(world.now(), &row) {
            EngineAnswer::Broken { .. } => {}
            EngineAnswer::Whole { first, end, uncached } => {
                world.clock.until(at(first)).await;
                engine.first_token(generation, uncached);
                world.clock.until(at(first + link)).await;
                world.answered(&row, choice.region);
                let clock = world.clock.clone();
                world.context.spawner.spawn(Box::pin(async move {
                    clock.until(at(end)).await;
                    engine.finished(generation);
                }));
                return;
            }
        }
    }
}

fn link(world: &World, from: usize, to: usize) -> f64 {
    let link = if from == to { world.plan.domain_link } else { world.plan.region_link };
    link.as_secs_f64()
}

fn choose(world: &World, row: &ArrivalRow, from: usize) -> Option<Choice> {
    let local = best_of(world, row, from, from);
    let bound = world.now() + world.near_bound;
    if local.as_ref().is_some_and(|choice| choice.first <= bound) {
        return local;
    }
    let others = (0..world.regions.len()).filter(|region| *region != from);
    let away = others.filter_map(|region| best_of(world, row, from, region));
    local.into_iter().chain(away).min_by(|a, b| a.first.total_cmp(&b.first))
}

/// The best engine of `region`, its first token as the caller's gateway in `from` sees it.
fn best_of(world: &World, row: &ArrivalRow, from: usize, region: usize) -> Option<Choice> {
    let now = world.now();
    let scenario = &world.scenario;
    let open = scenario.connected(from, region, now) && !scenario.is_lost(region, now);
    if !open || !world.permits(row, region) {
        return None;
    }
    let link = link(world, from, region);
    let engines = world.regions[region].engines.iter().enumerate();
    let firsts = engines.filter_map(|(engine, model)| match model.preview(now, row) {
        EngineAnswer::Whole { first, .. } => {
            Some(Choice { region, engine, first: first.max(now + link) + link })
        }
        EngineAnswer::Broken { .. } => None,
    });
    firsts.min_by(|a, b| a.first.total_cmp(&b.first))
}
