//! The tenant of a request: the platform's requests name it in the field `team`, by a name from the settings.

mod common;
mod stand;

use common::settings;
use rstest::rstest;
use stand::call;
use starlingplank::core::Event;
use starlingplank::interface::*;
use starlingplank::limits::Limits;
use starlingplank::net::front::{thrift, FrontendState};
use starlingplank::simulator::Fields;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;

#[rstest]
#[case::in_the_settings(Some("yards"), Some(TenantId(1)))]
#[case::not_in_the_settings(Some("nobody"), None)]
#[case::no_team(None, None)]
fn request_has_the_tenant_named_by_its_team(#[case] team: Option<&str>, #[case] tenant: Option<TenantId>) {
    let tenants = ["docks", "yards"].map(|name| Tenant { name: name.into(), quota_per_s: 1.0 });
    let settings = Settings { tenants: tenants.to_vec(), ..settings() };
    let limits = Limits::read(&Fields::new("settings", BTreeMap::new())).expect("defaults");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(tokio::task::LocalSet::new().run_until(async {
        let (sender, mut events) = tokio::sync::mpsc::channel(8);
        let frontend = FrontendState::new(Rc::new(settings), Rc::new(limits), sender);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("bound");
        let mut client = tokio::net::TcpStream::connect(at).await.expect("up");
        let (stream, peer) = listener.accept().await.expect("one");
        let share = frontend.shared.scheduler.new_connection(peer);
        let connection = frontend.accept_connection(peer, share.clone()).await.expect("room");
        tokio::task::spawn_local(share.run(thrift::serve(stream, connection, frontend.clone())));
        let mut fields = vec![("verb", "short"), ("txn", "00000000000000a1"), ("limit", "1000")];
        fields.extend(team.map(|name| ("team", name)));
        client.write_all(&call(1, &fields, "select 1")).await.expect("sent");
        let Some(Event::RequestReceived(request)) = events.recv().await else { panic!("a request") };
        assert_eq!(request.details.tenant, tenant);
    }));
}
